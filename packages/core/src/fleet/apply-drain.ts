import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { FleetRecordOf } from '../records/fleet-record';
import type { FleetState, Vm } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { transition } from '../charts/chart';
import { vmChart } from '../charts/vm.chart';
import { isServing, minServing, servingCount } from './budget';
import { UNASSIGNED_POOL } from './fleet-state';
import { refuse } from './refuse';

/** Starts draining a VM when its pool meets its availability budget without it. */
export function applyVmDrain(
  state: FleetState,
  offset: number,
  record: FleetRecordOf<'vm-drain'>,
): Result<void, FleetRefusal> {
  const vm = state.vms.get(record.vm);
  if (vm === undefined) {
    return refuse('unknown-vm', `VM ${record.vm} is not registered`);
  }
  const checked = checkDrain(state, vm, record);
  if (checked.isErr()) {
    return checked;
  }
  vm.state = 'draining';
  vm.drain = {
    id: record.id,
    offset,
    purpose: record.purpose,
    to: record.to,
    waitingFor: entryIncarnations(state),
    wave: record.wave,
  };
  completeDrainIfClear(state, vm);
  return ok();
}

/** Cancels the drain of a VM and returns the VM to service. */
export function applyVmUndrain(
  state: FleetState,
  record: FleetRecordOf<'vm-undrain'>,
): Result<void, FleetRefusal> {
  const vm = state.vms.get(record.vm);
  if (vm === undefined) {
    return refuse('unknown-vm', `VM ${record.vm} is not registered`);
  }
  if (vm.drain?.id !== record.drain || vm.state !== 'draining') {
    return refuse(
      'wrong-state',
      `VM ${record.vm} is ${vm.state} and drain ${record.drain} doesn't run on it`,
    );
  }
  vm.state = 'serving';
  vm.drain = undefined;
  return ok();
}

/** Records that a member has no requests in flight on a draining VM and sends it no new ones. */
export function applyVmClear(
  state: FleetState,
  record: FleetRecordOf<'vm-clear'>,
): Result<void, FleetRefusal> {
  const vm = state.vms.get(record.vm);
  if (vm === undefined) {
    return refuse('unknown-vm', `VM ${record.vm} is not registered`);
  }
  if (vm.drain?.id !== record.drain || vm.state !== 'draining') {
    return refuse('wrong-state', `drain ${record.drain} doesn't run on VM ${record.vm}`);
  }
  if (vm.drain.waitingFor.get(record.member) !== record.incarnation) {
    return refuse(
      'stale-incarnation',
      `drain ${record.drain} doesn't wait for incarnation ${record.incarnation} of ${record.member}`,
    );
  }
  vm.drain.waitingFor.delete(record.member);
  completeDrainIfClear(state, vm);
  return ok();
}

/** Removes one incarnation of a member from those that running drains wait for. */
export function stopWaitingFor(state: FleetState, member: string, incarnation: number): void {
  for (const vm of state.vms.values()) {
    if (vm.drain?.waitingFor.get(member) === incarnation) {
      vm.drain.waitingFor.delete(member);
      completeDrainIfClear(state, vm);
    }
  }
}

function checkDrain(
  state: FleetState,
  vm: Vm,
  record: FleetRecordOf<'vm-drain'>,
): Result<void, FleetRefusal> {
  if (vm.state !== 'serving') {
    return refuse('wrong-state', `VM ${vm.id} is ${vm.state}, not serving`);
  }
  if (record.from !== undefined && record.from !== vm.pool) {
    return refuse('wrong-pool', `VM ${vm.id} is in pool ${vm.pool}, not ${record.from}`);
  }
  if (record.epoch !== undefined && record.epoch !== state.planner.epoch) {
    return refuse('stale-epoch', `epoch ${record.epoch} is not the current epoch ${state.planner.epoch}`);
  }
  if (record.wave !== undefined && (state.wave?.id !== record.wave || state.wave.state !== 'running')) {
    return refuse('wrong-state', `wave ${record.wave} isn't running`);
  }
  const destination = checkDestination(state, record);
  if (destination.isErr()) {
    return destination;
  }
  return checkBudget(state, vm);
}

function checkDestination(state: FleetState, record: FleetRecordOf<'vm-drain'>): Result<void, FleetRefusal> {
  if (record.purpose !== 'move') {
    return ok();
  }
  if (record.to === undefined || (record.to !== UNASSIGNED_POOL && !state.poolOwners.has(record.to))) {
    return refuse('unknown-pool', `pool ${record.to ?? '(none)'} doesn't exist`);
  }
  return ok();
}

function checkBudget(state: FleetState, vm: Vm): Result<void, FleetRefusal> {
  // A VM that isn't serving doesn't count towards the budget, so draining it can't violate the budget.
  if (!isServing(vm)) {
    return ok();
  }
  const remaining = servingCount(state, vm.pool) - 1;
  const budget = minServing(state, vm.pool);
  if (remaining < budget) {
    return refuse(
      'budget',
      `pool ${vm.pool} would keep ${remaining} serving VMs, but its budget is ${budget}`,
    );
  }
  return ok();
}

function entryIncarnations(state: FleetState): Map<string, number> {
  const members = new Map<string, number>();
  for (const member of state.members.values()) {
    if (member.role === 'entry') {
      members.set(member.id, member.incarnation);
    }
  }
  return members;
}

function completeDrainIfClear(state: FleetState, vm: Vm): void {
  const drain = vm.drain;
  if (drain === undefined || drain.waitingFor.size > 0) {
    return;
  }
  if (drain.purpose === 'remove' && vm.health === 'down') {
    state.vms.delete(vm.id);
    return;
  }
  if (drain.purpose === 'move') {
    vm.pool = drain.to ?? UNASSIGNED_POOL;
    vm.state = 'serving';
    vm.drain = undefined;
    return;
  }
  vm.state = transition(vmChart, vm.state, 'cleared') ?? vm.state;
}
