import type { Task } from './task';
import type { Worker } from './worker';

/** Time without any progress after which a run counts as standing still, in ms. */
const STANDSTILL_MS = 2500;

/** Age above which a report shows nothing about progress, in ms. */
const REPORT_AGE_MS = 1500;

/** Runs of a worker that are listed as running and make no progress. */
export function standingStill(worker: Worker, now: number): Task[] {
  if (worker.silent || now - worker.heardAt > REPORT_AGE_MS) {
    return [];
  }
  return [...worker.runs.values()].filter(
    (task) =>
      task.phase === 'running' &&
      !task.step.spec.longRunning &&
      !task.step.spec.gang &&
      !task.step.spec.fillsIdle &&
      now - Math.max(task.percentChangedAt, task.phaseSince) > STANDSTILL_MS,
  );
}

/** Runs that are better moved before their worker leaves. */
export function leavingWith(worker: Worker): Task[] {
  if (!worker.info.draining) {
    return [];
  }
  return [...worker.runs.values()].filter(
    (task) => task.phase === 'running' && (task.step.spec.longRunning || task.step.spec.checkpointable),
  );
}
