import type { FailureStreak } from './worker-health';

/** Settings of the quarantine of workers. */
export interface QuarantineSettings {
  /** Time after the latest failure at which a quarantined worker gets one task as a probe, in ms. */
  probeAfterMs: number;
  /** Number of consecutive failures, of at least two jobs, at which a worker is quarantined. */
  workerFailureLimit: number;
}

/** How a worker may be used: for any task, for one task as a probe, or not at all. */
export type WorkerUse = 'normal' | 'probe' | 'quarantined';

/** Worker with its consecutive failures. */
export interface WorkerStreak extends FailureStreak {
  worker: string;
}

/**
 * Decides which workers of a pool are quarantined, those with the most failures first, so that at least
 * `minUsable` workers, and always one, stay in use. Failures of a single job never quarantine a worker: they must
 * come from two jobs or more.
 */
export function classifyWorkers(
  workers: readonly WorkerStreak[],
  minUsable: number,
  now: number,
  settings: QuarantineSettings,
): Map<string, WorkerUse> {
  const uses = new Map<string, WorkerUse>(workers.map((worker) => [worker.worker, 'normal']));
  const failing = workers
    .filter((worker) => worker.failures >= settings.workerFailureLimit && worker.jobs >= 2)
    .sort((a, b) => b.failures - a.failures || a.worker.localeCompare(b.worker));
  const maxQuarantined = Math.max(0, workers.length - Math.max(1, minUsable));
  for (const worker of failing.slice(0, maxQuarantined)) {
    uses.set(worker.worker, now - worker.lastAt >= settings.probeAfterMs ? 'probe' : 'quarantined');
  }
  return uses;
}
