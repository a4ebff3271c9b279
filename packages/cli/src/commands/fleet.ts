import { err } from 'neverthrow';
import * as z from 'zod';
import type { CommandContext, CommandResult } from './command';
import { usageError } from '../cli-error';
import { formatTable } from '../output';
import { readChecked } from './command';

const poolsSchema = z.array(
  z.object({
    minServing: z.int(),
    pool: z.string(),
    serving: z.int(),
    team: z.string(),
    vms: z.int(),
  }),
);

const vmsSchema = z.array(
  z.object({
    drain: z.object({ purpose: z.string(), waitingFor: z.array(z.string()) }).optional(),
    health: z.string(),
    id: z.string(),
    pool: z.string(),
    rack: z.string(),
    role: z.string(),
    state: z.string(),
    zone: z.string(),
  }),
);

const DRAIN_PURPOSES: readonly string[] = ['reboot', 'remove'];

/** Lists pools with their disruption budgets. */
export async function listPools(context: CommandContext): CommandResult {
  const read = await readChecked(context, '/pools', poolsSchema);
  return read.map(({ json, value }) => ({
    json,
    lines: formatTable(
      ['POOL', 'TEAM', 'VMS', 'SERVING', 'BUDGET'],
      value.map((pool) => [pool.pool, pool.team, pool.vms, pool.serving, pool.minServing]),
    ),
  }));
}

/** Lists VMs with their states. */
export async function listVms(context: CommandContext): CommandResult {
  const read = await readChecked(context, '/vms', vmsSchema);
  return read.map(({ json, value }) => ({
    json,
    lines: formatTable(
      ['VM', 'POOL', 'STATE', 'HEALTH', 'ROLE', 'ZONE', 'RACK', 'DRAIN', 'WAITS FOR'],
      value.map((vm) => [
        vm.id,
        vm.pool,
        vm.state,
        vm.health,
        vm.role,
        vm.zone,
        vm.rack,
        vm.drain?.purpose,
        vm.drain?.waitingFor.join(' '),
      ]),
    ),
  }));
}

/** Requests the drain of a VM, for a reboot or for removal. */
export async function drainVm(context: CommandContext, vm: string, purpose: string): CommandResult {
  if (!DRAIN_PURPOSES.includes(purpose)) {
    return err(
      usageError(`--purpose: the value ${purpose} is not allowed; allowed: ${DRAIN_PURPOSES.join(', ')}`),
    );
  }
  return changeVm(context, vm, 'drain', { purpose });
}

/** Returns a draining VM to service. */
export async function undrainVm(context: CommandContext, vm: string): CommandResult {
  return changeVm(context, vm, 'undrain', {});
}

/** Requests that a VM is drained and then moved to another pool; refused if `from` is not its current pool. */
export async function moveVm(
  context: CommandContext,
  vm: string,
  to: string,
  from: string | undefined,
): CommandResult {
  return changeVm(context, vm, 'move', { from, to });
}

async function changeVm(
  { client }: CommandContext,
  vm: string,
  action: string,
  body: unknown,
): CommandResult {
  const path = `/vms/${encodeURIComponent(vm)}/${action}`;
  const res = await client.change({ body, method: 'POST', path, isRetryable: true });
  return res.map((json) => ({ json, lines: [`${action} of VM ${vm} accepted`] }));
}
