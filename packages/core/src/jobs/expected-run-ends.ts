import type { Demand } from './demand';
import type { RunTimeInterval } from './run-time-estimator';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';

/** Capacity that is expected to become free. */
export interface ExpectedEnd {
  demand: Demand;
  /** Time until the end of the run, in ms. */
  inMs: number;
}

/**
 * Returns how many times as long a task of a step takes on a worker as near its data, or in one rack with its step.
 *
 * @param remoteFactor Run time on another rack as a multiple of that on a near worker.
 */
export function slowdownOn(worker: Worker, step: StepRun, remoteFactor: number): number {
  const { preferredRack, rackSensitive } = step.spec;
  if (preferredRack !== '') {
    return worker.info.labels.includes(preferredRack) ? 1 : remoteFactor;
  }
  return rackSensitive && step.racks().size > 1 ? remoteFactor : 1;
}

/**
 * Returns the expected ends of the runs of a worker by time, with the run times at the upper end of their interval.
 * Runs that have taken longer, that run until their job is cancelled, or of which it is not certain that they run have
 * no expected end. Of a run of an earlier term only the time since this leader knows it counts.
 */
export function expectedRunEnds(
  worker: Worker,
  runTimeOf: (task: Task) => RunTimeInterval,
  remoteFactor: number,
  now: number,
): ExpectedEnd[] {
  const ends: ExpectedEnd[] = [];
  for (const task of worker.runs.values()) {
    const { demand, fillsIdle, longRunning } = task.step.spec;
    if (longRunning || (task.phase !== 'running' && task.phase !== 'starting')) {
      continue;
    }
    const highMs = runTimeOf(task).highMs * slowdownOn(worker, task.step, remoteFactor);
    const inMs = task.phase === 'running' ? highMs - (now - task.phaseSince) : highMs;
    if (inMs > 0) {
      ends.push({ demand: fillsIdle ? { ...demand, cpuMilli: 0 } : demand, inMs });
    }
  }
  return ends.sort((a, b) => a.inMs - b.inMs);
}
