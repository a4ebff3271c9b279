import type { JobSettings, PoolSettings } from '../records/settings-schema';
import type { FleetState, Vm } from './fleet-state';

/** Whether a VM counts as serving for its pool's availability budget. */
export function isServing(vm: Vm): boolean {
  return vm.state === 'serving' && vm.health === 'up';
}

/** Returns the VMs of a pool. */
export function vmsOfPool(state: FleetState, pool: string): Vm[] {
  return [...state.vms.values()].filter((vm) => vm.pool === pool);
}

/** Returns the number of VMs of a pool that count as serving for its budget. */
export function servingCount(state: FleetState, pool: string): number {
  return vmsOfPool(state, pool).filter(isServing).length;
}

/** Returns the settings of a pool, or undefined when no team defines it. */
export function poolSettings(state: FleetState, pool: string): PoolSettings | undefined {
  const team = state.poolOwners.get(pool);
  if (team === undefined) {
    return undefined;
  }
  return ownValue(state.branches.get(team)?.value.pools, pool);
}

/** Returns the settings of a job, or undefined when the pool doesn't define it. */
export function jobSettings(pool: PoolSettings, job: string): JobSettings | undefined {
  return ownValue(pool.jobs, job);
}

/** Returns the availability budget of a pool: the minimum number of VMs that must be serving. */
export function minServing(state: FleetState, pool: string): number {
  return poolSettings(state, pool)?.minServing ?? 0;
}

// Names such as "constructor" are valid, so inherited properties must not be found.
function ownValue<T>(values: Record<string, T> | undefined, name: string): T | undefined {
  return values !== undefined && Object.hasOwn(values, name) ? values[name] : undefined;
}
