import type { QueueConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { RunTimeEstimator } from './run-time-estimator';
import type { Worker } from './worker';
import { compareRanks, rankJob } from './job-rank';

/** Workers and jobs of one pool, as tracked by the leader. */
export class PoolState {
  /** Whether anything changed since tasks were last assigned. */
  needsAssignment = true;
  readonly jobs = new Set<JobRun>();
  readonly workers = new Set<Worker>();

  /** Returns the workers to which new tasks can be assigned at a monotonic time in ms. */
  assignableWorkers(now: number): Worker[] {
    return [...this.workers].filter((worker) => worker.isAssignable(now));
  }

  /** Returns the jobs that have tasks to assign, in scheduling order. */
  rankWaitingJobs(
    queueOf: (run: JobRun) => QueueConfig | undefined,
    times: RunTimeEstimator,
    wallNow: number,
  ): JobRun[] {
    const waiting = [...this.jobs].filter((run) => !run.readySteps().next().done);
    const ranked = waiting.map((run) => ({ rank: rankJob(run, queueOf(run), times, wallNow), run }));
    ranked.sort((a, b) => compareRanks(a.rank, b.rank));
    return ranked.map((item) => item.run);
  }
}
