import type { JobRank } from './job-order';
import type { JobRun } from './job-run';
import type { Worker } from './worker';
import { compareRanks } from './job-order';

/** Workers and jobs of one pool, as the leader sees them. */
export class PoolState {
  /** Something changed since tasks were last assigned. */
  dirty = true;
  readonly jobs = new Map<JobRun, JobRank>();
  readonly workers = new Set<Worker>();

  /** Workers that new tasks may be assigned to. */
  openWorkers(now: number): Worker[] {
    return [...this.workers].filter((worker) => isOpen(worker, now));
  }

  /** Jobs that have tasks to assign, in order. */
  waitingJobs(wallNow: number): JobRun[] {
    const waiting = [...this.jobs].filter(([job]) => !job.readySteps().next().done);
    waiting.sort(([, a], [, b]) => compareRanks(a, b, wallNow));
    return waiting.map(([job]) => job);
  }
}

function isOpen(worker: Worker, now: number): boolean {
  return (
    worker.fenced &&
    !worker.gone &&
    !worker.silent &&
    !worker.evacuating &&
    !worker.info.draining &&
    worker.pausedUntil <= now
  );
}
