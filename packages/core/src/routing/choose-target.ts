import { v3 } from 'murmurhash';

/** VM with the slots that may be used on it. */
export interface TargetSlots {
  slots: number;
  vm: string;
}

/** Least loaded VM with a free slot that is not excluded; the seed breaks ties. */
export function chooseTarget<T extends TargetSlots>(
  targets: readonly T[],
  inFlight: (vm: string) => number,
  excluded: ReadonlySet<string>,
  seed: number,
): T | undefined {
  let best: T | undefined;
  let bestLoad = Infinity;
  // Starting at a seeded place gives each of the equally loaded VMs its turn.
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
