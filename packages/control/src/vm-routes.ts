import type { FleetState, Vm } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { checkValue, isServing, minServing, nameSchema, servingCount } from '@sequoiaquay/core';
import * as z from 'zod';
import type { OperatorApiDependencies, OperatorContext, OperatorEnv } from './operator-http';
import { readJson, refuse, refuseInvalid } from './operator-http';
import { proposeChange } from './operator-proposal';

const drainBodySchema = z.strictObject({
  purpose: z.enum(['reboot', 'remove']).default('reboot'),
});
const moveBodySchema = z.strictObject({ from: nameSchema.optional(), to: nameSchema });
const undrainBodySchema = z.strictObject({});

/** Registers the routes that list pools and VMs, and that drain, undrain and move VMs. */
export function registerVmRoutes(app: Hono<OperatorEnv>, deps: OperatorApiDependencies): void {
  app.get('/pools', (c) => c.json(listPools(deps.replica.state)));
  app.get('/vms', (c) => c.json([...deps.replica.state.vms.values()].map(describeVm)));
  app.post('/vms/:vm/drain', async (c) => {
    const body = checkValue(drainBodySchema, await readJson(c));
    if (body.isErr()) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const purpose = body.value.purpose;
    return refuseOtherTeam(c, deps, vm) ?? proposeChange(c, deps, { kind: 'vm-drain', purpose, vm });
  });
  app.post('/vms/:vm/undrain', async (c) => {
    const body = checkValue(undrainBodySchema, await readJson(c));
    if (body.isErr()) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const drain = deps.replica.state.vms.get(vm)?.drain?.id ?? '';
    return refuseOtherTeam(c, deps, vm) ?? proposeChange(c, deps, { drain, kind: 'vm-undrain', vm });
  });
  app.post('/vms/:vm/move', async (c) => {
    const body = checkValue(moveBodySchema, await readJson(c));
    if (body.isErr()) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const from = body.value.from ?? deps.replica.state.vms.get(vm)?.pool;
    const move = { from, kind: 'vm-drain', purpose: 'move', to: body.value.to, vm } as const;
    return refuseOtherTeam(c, deps, vm) ?? proposeChange(c, deps, move);
  });
}

// Teams may act on VMs of their own pools and on VMs of pools without an owner. An unknown VM is refused
// here, because a record about it would be rejected.
function refuseOtherTeam(
  c: OperatorContext,
  deps: OperatorApiDependencies,
  id: string,
): Response | undefined {
  const vm = deps.replica.state.vms.get(id);
  if (vm === undefined) {
    return refuse(c, 404, 'unknown-vm', `VM ${JSON.stringify(id)} is not registered`);
  }
  const owner = deps.replica.state.poolOwners.get(vm.pool);
  if (owner === undefined || owner === c.get('team')) {
    return undefined;
  }
  return refuse(c, 403, 'other-team', `VM ${id} belongs to a pool of team ${owner}`);
}

function listPools(state: FleetState): unknown[] {
  return [...state.poolOwners].map(([pool, team]) => ({
    minServing: minServing(state, pool),
    pool,
    serving: servingCount(state, pool),
    team,
    vms: [...state.vms.values()].filter((vm) => vm.pool === pool).length,
  }));
}

function describeVm(vm: Vm): unknown {
  return {
    ...vm,
    drain: vm.drain && { ...vm.drain, waitingFor: [...vm.drain.waitingFor.keys()] },
    serving: isServing(vm),
  };
}
