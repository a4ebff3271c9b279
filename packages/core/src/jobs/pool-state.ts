import type { QueueConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { RunTimes } from './run-times';
import type { Worker } from './worker';
import { compareRanks, rankJob } from './job-order';

/** Workers and jobs of one pool, as the leader sees them. */
export class PoolState {
  /** Something changed since tasks were last assigned. */
  dirty = true;
  readonly jobs = new Set<JobRun>();
  readonly workers = new Set<Worker>();

  /** Workers that new tasks may be assigned to. */
  openWorkers(now: number): Worker[] {
    return [...this.workers].filter((worker) => worker.isOpen(now));
  }

  /** Jobs that have tasks to assign, in order. */
  waitingJobs(queueOf: (run: JobRun) => QueueConfig | undefined, times: RunTimes, wallNow: number): JobRun[] {
    const waiting = [...this.jobs].filter((run) => !run.readySteps().next().done);
    const ranked = waiting.map((run) => ({ rank: rankJob(run, queueOf(run), times, wallNow), run }));
    ranked.sort((a, b) => compareRanks(a.rank, b.rank));
    return ranked.map((item) => item.run);
  }
}
