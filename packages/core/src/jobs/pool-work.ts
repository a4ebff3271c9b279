import type { PoolState } from './pool-state';
import type { RunTimeEstimator } from './run-time-estimator';
import type { StartAllowance } from './workspace-maximum';

/** Work of the tasks of a pool that end, by their expected run times. */
export interface PoolWork {
  /** Mean run time, weighted by processor time, in ms; 0 when there are no tasks. */
  meanRunMs: number;
  /** Work that assigned and waiting tasks have still to do, in thousandths of a core times ms. */
  remaining: number;
}

/**
 * Sums up the work of a pool at a monotonic time in ms. Waiting tasks that the allowance does not let start are not
 * counted.
 */
export function computePoolWork(
  pool: PoolState,
  times: RunTimeEstimator,
  now: number,
  allowance?: StartAllowance,
): PoolWork {
  let cpuMilli = 0;
  let remaining = 0;
  let total = 0;
  const add = (count: number, demandMilli: number, runMs: number, remainingMs: number): void => {
    cpuMilli += count * demandMilli;
    remaining += count * demandMilli * remainingMs;
    total += count * demandMilli * runMs;
  };
  for (const worker of pool.workers) {
    for (const { job, phase, phaseSince, step } of worker.runs.values()) {
      if (!step.spec.longRunning && !step.spec.fillsIdle) {
        const runMs = times.expectedMs(job.job.queue, step.spec);
        const doneMs = phase === 'running' ? now - phaseSince : 0;
        add(1, step.spec.demand.cpuMilli, runMs, Math.max(0, runMs - doneMs));
      }
    }
  }
  for (const run of pool.jobs) {
    for (const step of run.readySteps()) {
      const { spec } = step;
      const startable = allowance?.take(step) ?? step.waitingCount;
      if (startable > 0 && !spec.longRunning && !spec.fillsIdle) {
        const runMs = times.expectedMs(run.job.queue, spec);
        add(startable, spec.demand.cpuMilli, runMs, runMs);
      }
    }
  }
  return { meanRunMs: cpuMilli > 0 ? total / cpuMilli : 0, remaining };
}
