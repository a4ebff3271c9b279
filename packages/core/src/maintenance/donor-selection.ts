import type { PoolNeed } from './pool-need';
import type { VmInfo } from './wave';
import { isSuitable, lacksSuitableWorkers, parkableSurplusOf, surplusOf } from './pool-need';

/** Ranks of the VMs that a pool may receive; the VM with the lowest rank is reassigned first. */
const DONOR_RANK = {
  /** A running worker that its pool doesn't need; it costs more than a VM that is switched off. */
  surplus: 0,
  parked: 1,
  keptForPeak: 2,
} as const;

/** Rank advantage of a VM in a rack that holds data of the pool's jobs. */
const DATA_LOCALITY_RANK = 0.5;

/** Selects the VM to reassign to a pool; undefined when no other pool can give up a suitable VM. */
export function selectDonor(
  pool: string,
  need: PoolNeed,
  needs: ReadonlyMap<string, PoolNeed>,
  available: Iterable<VmInfo>,
): VmInfo | undefined {
  let best: VmInfo | undefined;
  let bestRank = Infinity;
  for (const vm of available) {
    const donor = needs.get(vm.pool);
    const rank = vm.pool === pool || !isSuitable(vm, need) ? Infinity : rankOf(vm, donor, need);
    if (rank < bestRank) {
      best = vm;
      bestRank = rank;
    }
  }
  return best;
}

function rankOf(vm: VmInfo, donor: PoolNeed | undefined, need: PoolNeed): number {
  if (donor !== undefined && !canDonate(donor, need)) {
    return Infinity;
  }
  const isNearPoolData = vm.labels.some((label) => need.dataRacks.has(label));
  const isNearDonorData = vm.labels.some((label) => donor?.dataRacks.has(label));
  const localityRank = (Number(isNearDonorData) - Number(isNearPoolData)) * DATA_LOCALITY_RANK;
  if (donor === undefined) {
    return DONOR_RANK.parked + localityRank;
  }
  return (parkableSurplusOf(donor) > 0 ? DONOR_RANK.surplus : DONOR_RANK.keptForPeak) + localityRank;
}

// Work goes before the next peak of the donor. For workers that the other pool only wants in reserve, the donor's
// ratio of workers to kept workers must afterwards be no lower than the other pool's ratio of workers to required
// workers.
function canDonate(donor: PoolNeed, need: PoolNeed): boolean {
  const isKept = parkableSurplusOf(donor) <= 0;
  const lacksForWork = need.workers < need.neededForWork || lacksSuitableWorkers(need);
  return (
    surplusOf(donor) > 0 &&
    (!isKept || lacksForWork || (donor.workers - 1) / donor.keptForPeak >= need.workers / need.required)
  );
}
