import type { Task } from './task';
import type { Worker } from './worker';

/** Time without progress after which a run counts as stalled, in ms. */
const STALL_TIMEOUT_MS = 2500;

/** Maximum age of a report for it to be used to detect stalled runs, in ms. */
const MAX_REPORT_AGE_MS = 1500;

/** Returns the runs that a worker reports as running but that make no progress. */
export function findStalledRuns(worker: Worker, now: number): Task[] {
  if (worker.isUnresponsive || now - worker.lastReportAt > MAX_REPORT_AGE_MS) {
    return [];
  }
  return [...worker.runs.values()].filter(
    (task) =>
      task.phase === 'running' &&
      !task.step.spec.longRunning &&
      !task.step.spec.gang &&
      !task.step.spec.fillsIdle &&
      now - Math.max(task.progressChangedAt, task.phaseSince) > STALL_TIMEOUT_MS,
  );
}

/** Returns the runs of a draining worker that are moved to other workers before it leaves. */
export function findRunsToMove(worker: Worker): Task[] {
  if (!worker.info.draining) {
    return [];
  }
  return [...worker.runs.values()].filter(
    (task) => task.phase === 'running' && (task.step.spec.longRunning || task.step.spec.checkpointable),
  );
}
