import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { FleetRecordOf } from '../records/fleet-record';
import type { FleetState } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { transition } from '../charts/chart';
import { vmChart } from '../charts/vm.chart';
import { UNASSIGNED_POOL } from './fleet-state';
import { refuse } from './refuse';

/** Registers a VM in the pool `unassigned`. */
export function applyVmRegister(
  state: FleetState,
  record: FleetRecordOf<'vm-register'>,
): Result<void, FleetRefusal> {
  if (state.vms.has(record.vm)) {
    return refuse('no-change', `VM ${record.vm} is already registered`);
  }
  state.vms.set(record.vm, {
    address: record.address,
    connections: record.connections,
    health: 'up',
    id: record.vm,
    maintainedAt: 0,
    pool: UNASSIGNED_POOL,
    rack: record.rack,
    resources: record.resources,
    role: record.role,
    slots: record.slots,
    state: vmChart.initial,
    zone: record.zone,
  });
  return ok();
}

/**
 * Records a change of a VM's health. A released VM that is up again has completed its maintenance and returns
 * to service; one that was drained for removal and is down has left the fleet.
 */
export function applyVmHealth(
  state: FleetState,
  record: FleetRecordOf<'vm-health'>,
): Result<void, FleetRefusal> {
  const vm = state.vms.get(record.vm);
  if (vm === undefined) {
    return refuse('unknown-vm', `VM ${record.vm} is not registered`);
  }
  const isBeingRemoved = vm.state === 'released' && vm.drain?.purpose === 'remove';
  if (isBeingRemoved && record.health === 'down') {
    state.vms.delete(vm.id);
    return ok();
  }
  const returned =
    record.health === 'up' && !isBeingRemoved ? transition(vmChart, vm.state, 'returned') : undefined;
  if (vm.health === record.health && returned === undefined) {
    return refuse('no-change', `VM ${record.vm} is already ${record.health}`);
  }
  vm.health = record.health;
  if (returned !== undefined) {
    vm.state = returned;
    vm.drain = undefined;
    vm.maintainedAt = record.at;
  }
  return ok();
}
