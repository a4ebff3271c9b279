import type { Demand } from '../jobs/demand';
import type { StepSpec } from '../jobs/job-spec';
import type { VmInfo } from './wave';

/** Waiting tasks of a step for which no worker of their pool has room. */
export interface RoomShortage {
  /** Number of tasks without room. */
  count: number;
  spec: StepSpec;
}

/** VM of a pool whose worker has a smaller capacity than the list of VMs states. */
export interface ShrunkVm {
  listed: Demand;
  worker: Demand;
}

/** Whether a VM would give room to any of the tasks; `shrunk` are VMs of their pool that came smaller than listed. */
export function givesRoom(
  vm: VmInfo,
  shortages: readonly RoomShortage[],
  shrunk: readonly ShrunkVm[],
): boolean {
  return shortages.some(
    ({ spec }) =>
      mayRunOn(spec, vm) &&
      (vm.capacity === undefined || countFitting(spec, vm.capacity) > 0) &&
      !shrunk.some(({ listed, worker }) => hasNoMore(vm, listed) && countFitting(spec, worker) === 0),
  );
}

/** Returns the shortages that remain once a VM has arrived. */
export function reduceShortages(shortages: readonly RoomShortage[], vm: VmInfo): RoomShortage[] {
  const free = vm.capacity === undefined ? undefined : { ...vm.capacity };
  const remaining: RoomShortage[] = [];
  let isTaken = false;
  for (const shortage of shortages) {
    const { spec } = shortage;
    // A VM whose capacity is not known is assumed to have room for one task.
    const fitting: number = free === undefined ? Number(!isTaken) : countFitting(spec, free);
    const placed = mayRunOn(spec, vm) ? Math.min(shortage.count, fitting) : 0;
    isTaken = isTaken || placed > 0;
    if (free !== undefined) {
      free.cpuMilli -= placed * cpuMilliOf(spec);
      free.gpus -= placed * spec.demand.gpus;
      free.memoryMb -= placed * spec.demand.memoryMb;
    }
    if (placed < shortage.count) {
      remaining.push({ count: shortage.count - placed, spec });
    }
  }
  return remaining;
}

/** Whether a worker has less of any resource than the list of VMs states. */
export function hasShrunk({ listed, worker }: ShrunkVm): boolean {
  return worker.cpuMilli < listed.cpuMilli || worker.gpus < listed.gpus || worker.memoryMb < listed.memoryMb;
}

function mayRunOn({ requiredLabel }: StepSpec, vm: VmInfo): boolean {
  return requiredLabel === '' || vm.labels.includes(requiredLabel);
}

function hasNoMore({ capacity }: VmInfo, listed: Demand): boolean {
  return (
    capacity !== undefined &&
    capacity.cpuMilli <= listed.cpuMilli &&
    capacity.gpus <= listed.gpus &&
    capacity.memoryMb <= listed.memoryMb
  );
}

// Number of tasks of a step that fit into a free capacity, within the limit per worker.
function countFitting(spec: StepSpec, free: Demand): number {
  const { gpus, memoryMb } = spec.demand;
  return Math.min(
    spec.maxPerWorker > 0 ? spec.maxPerWorker : Infinity,
    ratioOf(free.cpuMilli, cpuMilliOf(spec)),
    ratioOf(free.gpus, gpus),
    ratioOf(free.memoryMb, memoryMb),
  );
}

function ratioOf(free: number, needed: number): number {
  return needed > 0 ? Math.max(0, Math.floor(free / needed)) : Infinity;
}

function cpuMilliOf({ demand, fillsIdle }: StepSpec): number {
  return fillsIdle ? 0 : demand.cpuMilli;
}
