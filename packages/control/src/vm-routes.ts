import type { FleetState, Vm } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { isServing, minServing, nameSchema, servingCount } from '@sequoiaquay/core';
import * as z from 'zod';
import type { OperatorApiParts, OperatorContext, OperatorEnv } from './operator-http';
import { readJson, refuse, refuseInvalid } from './operator-http';
import { propose } from './operator-proposal';

const drainBodySchema = z.strictObject({
  purpose: z.enum(['reboot', 'remove']).default('reboot'),
});
const moveBodySchema = z.strictObject({ from: nameSchema.optional(), to: nameSchema });
const undrainBodySchema = z.strictObject({});

/** Routes that list pools and VMs and drain, undrain and move VMs. */
export function routeVms(app: Hono<OperatorEnv>, parts: OperatorApiParts): void {
  app.get('/pools', (c) => c.json(listPools(parts.replica.state)));
  app.get('/vms', (c) => c.json([...parts.replica.state.vms.values()].map(describeVm)));
  app.post('/vms/:vm/drain', async (c) => {
    const body = drainBodySchema.safeParse(await readJson(c));
    if (!body.success) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const purpose = body.data.purpose;
    return notOwn(c, parts, vm) ?? propose(c, parts, { kind: 'vm-drain', purpose, vm });
  });
  app.post('/vms/:vm/undrain', async (c) => {
    const body = undrainBodySchema.safeParse(await readJson(c));
    if (!body.success) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const drain = parts.replica.state.vms.get(vm)?.drain?.id ?? '';
    return notOwn(c, parts, vm) ?? propose(c, parts, { drain, kind: 'vm-undrain', vm });
  });
  app.post('/vms/:vm/move', async (c) => {
    const body = moveBodySchema.safeParse(await readJson(c));
    if (!body.success) {
      return refuseInvalid(c, 'bad-request', body.error);
    }
    const vm = c.req.param('vm');
    const from = body.data.from ?? parts.replica.state.vms.get(vm)?.pool;
    const move = { from, kind: 'vm-drain', purpose: 'move', to: body.data.to, vm } as const;
    return notOwn(c, parts, vm) ?? propose(c, parts, move);
  });
}

// A team acts on VMs of its own pools and on VMs that no team has. A VM that this control doesn't know
// is refused here: a record about it could only be rejected.
function notOwn(c: OperatorContext, parts: OperatorApiParts, id: string): Response | undefined {
  const vm = parts.replica.state.vms.get(id);
  if (vm === undefined) {
    return refuse(c, 404, 'unknown-vm', `VM ${JSON.stringify(id)} is not registered`);
  }
  const owner = parts.replica.state.poolOwners.get(vm.pool);
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
