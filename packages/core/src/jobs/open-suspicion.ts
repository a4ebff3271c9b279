import type { CrashSuspicion } from './run-record';

/** Crash of a worker that is neither proven nor disproved, as the leader of a term knows it. */
export interface OpenSuspicion extends CrashSuspicion {
  /** Whether the worker's entry has been written since, so that its process has probably not ended. */
  isDoubted: boolean;
  /** Monotonic time since which this leader knows it, in ms. */
  notedAt: number;
}

/** Returns a suspicion that a leader knows since a monotonic time in ms. */
export function openSuspicion(suspicion: CrashSuspicion, notedAt: number): OpenSuspicion {
  return { ...suspicion, isDoubted: false, notedAt };
}

/** Returns what is stored of a suspicion. */
export function toStoredSuspicion(suspicion: OpenSuspicion): CrashSuspicion {
  const { address, bornAt, isAlone, isCertain, run, workerId } = suspicion;
  return { address, bornAt, isAlone, isCertain, run, workerId };
}
