import type { FleetState, Vm } from '../fleet/fleet-state';
import { isServing } from '../fleet/budget';

/** Returns the target VMs of a pool that may receive new work. */
export function eligibleTargets(state: FleetState, pool: string): Vm[] {
  return [...state.vms.values()].filter((vm) => vm.pool === pool && vm.role === 'target' && isServing(vm));
}
