import { v3 } from 'murmurhash';

/** VM with its number of usable slots. */
export interface TargetSlots {
  slots: number;
  vm: string;
}

/**
 * Returns the VM with a free slot that has the lowest share of slots in use, without the excluded VMs; undefined
 * when there is none. `seed` breaks ties.
 */
export function chooseTarget<T extends TargetSlots>(
  targets: readonly T[],
  inFlight: (vm: string) => number,
  excluded: ReadonlySet<string>,
  seed: number,
): T | undefined {
  let best: T | undefined;
  let bestLoad = Infinity;
  // Different seeds start the search at different VMs, which spreads requests over equally loaded VMs.
  const offset = targets.length === 0 ? 0 : v3(String(seed)) % targets.length;
  for (let index = 0; index < targets.length; index += 1) {
    const target = targets[(index + offset) % targets.length];
    if (target === undefined || excluded.has(target.vm)) {
      continue;
    }
    const used = inFlight(target.vm);
    if (used < target.slots && used / target.slots < bestLoad) {
      best = target;
      bestLoad = used / target.slots;
    }
  }
  return best;
}
