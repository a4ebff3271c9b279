import type { RoomShortage, ShrunkVm } from './room-shortage';
import type { VmInfo } from './wave';
import { givesRoom, reduceShortages } from './room-shortage';

/** Workers that a pool has and needs. */
export interface PoolNeed {
  /** Racks that hold the data of the pool's jobs. */
  dataRacks: ReadonlySet<string>;
  /** Workers that the pool keeps for its next peak. */
  keptForPeak: number;
  /** Workers for the tasks that are assigned or wait, and for a peak that begins or is due. */
  neededForWork: number;
  /** Workers that the pool needs now, with those in reserve. */
  required: number;
  /** Waiting tasks that fit on none of the pool's workers, nor on the VMs that are being moved to it. */
  roomShortages: readonly RoomShortage[];
  /** Missing workers for each label that waiting tasks require. */
  shortageByLabel: Map<string, number>;
  /** VMs of the pool whose workers are smaller than the list of VMs states. */
  shrunkVms: readonly ShrunkVm[];
  /** Workers that the pool has, including those that are being moved to it. */
  workers: number;
}

/** Returns the workers beyond what a pool needs now; negative when it has too few. */
export function surplusOf(need: PoolNeed): number {
  const missing = Math.max(
    [...need.shortageByLabel.values()].reduce((total, value) => total + value, 0),
    Number(need.roomShortages.length > 0),
  );
  const surplus = need.workers - need.required;
  return missing > 0 ? Math.min(surplus, -missing) : surplus;
}

/** Returns the workers beyond what a pool may need within the time that a VM takes to arrive. */
export function parkableSurplusOf(need: PoolNeed): number {
  return Math.min(surplusOf(need), need.workers - need.keptForPeak);
}

/** Whether tasks of a pool wait for workers of a certain kind, however many others the pool has. */
export function lacksSuitableWorkers(need: PoolNeed): boolean {
  return need.shortageByLabel.size > 0 || need.roomShortages.length > 0;
}

/** Whether a VM is of a kind that the pool lacks; any VM is if it lacks none. */
export function isSuitable(vm: VmInfo, need: PoolNeed): boolean {
  return (
    !lacksSuitableWorkers(need) ||
    vm.labels.some((label) => need.shortageByLabel.has(label)) ||
    givesRoom(vm, need.roomShortages, need.shrunkVms)
  );
}

/** Counts a VM that is ordered to move to the pool. */
export function addVm(need: PoolNeed, vm: VmInfo): void {
  need.workers += 1;
  need.roomShortages = reduceShortages(need.roomShortages, vm);
  for (const label of vm.labels) {
    const shortage = need.shortageByLabel.get(label) ?? 0;
    if (shortage > 1) {
      need.shortageByLabel.set(label, shortage - 1);
    } else {
      need.shortageByLabel.delete(label);
    }
  }
}
