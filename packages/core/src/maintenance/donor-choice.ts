import type { PoolNeed } from './pool-needs';
import type { VmInfo } from './wave';

/** Ranks of VMs that a pool may get; the lowest goes first. */
const DONOR_RANK = {
  /** A worker that its pool does not need costs more while it is on than one that is switched off. */
  unneeded: 0,
  switchedOff: 1,
  keptForPeak: 2,
} as const;

/** Rank by which a VM comes first that is in a rack with the data of the pool's jobs. */
const NEAR_RANK = 0.5;

/** The VM that a pool gets next; undefined when no pool can give one that it can use. */
export function bestDonor(
  pool: string,
  need: PoolNeed,
  needs: ReadonlyMap<string, PoolNeed>,
  free: ReadonlySet<VmInfo>,
): VmInfo | undefined {
  let best: VmInfo | undefined;
  let bestRank = Infinity;
  for (const vm of free) {
    const donor = needs.get(vm.pool);
    const rank = vm.pool === pool || !hasWanted(vm, need) ? Infinity : rankOf(vm, donor, need);
    if (rank < bestRank) {
      best = vm;
      bestRank = rank;
    }
  }
  return best;
}

function rankOf(vm: VmInfo, donor: PoolNeed | undefined, need: PoolNeed): number {
  if (donor !== undefined && !canGive(donor, need)) {
    return Infinity;
  }
  const isNear = vm.labels.some((label) => need.nearLabels.has(label));
  const isNearThere = vm.labels.some((label) => donor?.nearLabels.has(label));
  const near = (Number(isNearThere) - Number(isNear)) * NEAR_RANK;
  if (donor === undefined) {
    return DONOR_RANK.switchedOff + near;
  }
  return (donor.surplusToPark > 0 ? DONOR_RANK.unneeded : DONOR_RANK.keptForPeak) + near;
}

// A pool that lacks workers with a label gets those first.
function hasWanted(vm: VmInfo, need: PoolNeed): boolean {
  return need.lackingByLabel.size === 0 || vm.labels.some((label) => need.lackingByLabel.has(label));
}

// A pool that keeps workers for its next peak gives of them to a pool that is worse off.
function canGive(donor: PoolNeed, need: PoolNeed): boolean {
  const isKept = donor.surplusToPark <= 0;
  return donor.surplus > 0 && (!isKept || (donor.has - 1) / donor.kept >= need.has / need.wanted);
}
