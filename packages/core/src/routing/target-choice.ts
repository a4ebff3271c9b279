import type { FleetState, Vm } from '../fleet/fleet-state';
import { isServing } from '../fleet/budget';

/** A target VM with the number of requests in flight on it. */
export interface TargetLoad {
  inFlight: number;
  slots: number;
  vm: string;
}

/** Target VMs of a pool that may receive new work. */
export function eligibleTargets(state: FleetState, pool: string, excluded: ReadonlySet<string>): Vm[] {
  return [...state.vms.values()].filter(
    (vm) => vm.pool === pool && vm.role === 'target' && isServing(vm) && !excluded.has(vm.id),
  );
}

/** Target with the most free slots, or undefined when no slot is free; ties go to the first. */
export function leastLoaded(targets: readonly TargetLoad[]): TargetLoad | undefined {
  let best: TargetLoad | undefined;
  for (const target of targets) {
    if (target.inFlight >= target.slots) {
      continue;
    }
    if (best === undefined || target.inFlight / target.slots < best.inFlight / best.slots) {
      best = target;
    }
  }
  return best;
}
