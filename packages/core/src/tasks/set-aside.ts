import type { FailureStreak } from './worker-health';

/** Settings for setting workers aside. */
export interface SetAsideSettings {
  /** Time after the latest failure at which a worker gets one task as a probe, in ms. */
  probeAfterMs: number;
  /** Failures in a row, over at least two jobs, at which a worker is set aside. */
  workerFailureLimit: number;
}

/** How a worker may be used. */
export type WorkerUse = 'aside' | 'normal' | 'probe';

/** A worker of one pool with its failures in a row. */
export interface WorkerStreak extends FailureStreak {
  worker: string;
}

/**
 * Decides which workers of a pool are set aside, worst first, so that at least `minUsable` stay in use.
 * One job alone never sets a worker aside: failures must come from two jobs or more.
 */
export function useOfWorkers(
  workers: readonly WorkerStreak[],
  minUsable: number,
  now: number,
  settings: SetAsideSettings,
): Map<string, WorkerUse> {
  const uses = new Map<string, WorkerUse>(workers.map((worker) => [worker.worker, 'normal']));
  const bad = workers
    .filter((worker) => worker.failures >= settings.workerFailureLimit && worker.jobs >= 2)
    .sort((a, b) => b.failures - a.failures || a.worker.localeCompare(b.worker));
  const most = Math.max(0, workers.length - Math.max(1, minUsable));
  for (const worker of bad.slice(0, most)) {
    uses.set(worker.worker, now - worker.lastAt >= settings.probeAfterMs ? 'probe' : 'aside');
  }
  return uses;
}
