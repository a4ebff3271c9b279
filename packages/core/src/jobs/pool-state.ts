import type { JobPolicy } from './fleet-config';
import type { JobRank } from './job-rank';
import type { JobRun } from './job-run';
import type { RunTimeEstimator } from './run-time-estimator';
import type { StepRun } from './step-run';
import type { Worker } from './worker';
import { compareRanks, rankJob } from './job-rank';
import { WaitingTurns } from './waiting-turns';

/** Job of which tasks may be assigned. */
export interface WaitingJob {
  rank: JobRank;
  run: JobRun;
  /** Its ready steps whose tasks may be assigned. */
  steps: StepRun[];
}

/** Workers and jobs of one pool, as tracked by the leader. */
export class PoolState {
  /** Monotonic time at which tasks were last assigned, in ms. */
  assignedAt = -Infinity;
  /** Whether anything changed since tasks were last assigned. */
  needsAssignment = true;
  readonly jobs = new Set<JobRun>();
  /** Whether tasks with room were not assigned because of the maximum of their workspace. */
  waitsForMaximum = false;
  /** Turns of the jobs that have waited long, where several workspaces share the pool. */
  readonly waitingTurns = new WaitingTurns();
  readonly workers = new Set<Worker>();

  /** Returns the workers to which new tasks can be assigned at a monotonic time in ms. */
  assignableWorkers(now: number): Worker[] {
    return [...this.workers].filter((worker) => worker.isAssignable(now));
  }

  /** Returns the jobs with ready steps that `mayAssign` accepts, in scheduling order. */
  rankWaitingJobs(
    mayAssign: (run: JobRun, step: StepRun) => boolean,
    policyOf: (run: JobRun) => JobPolicy | undefined,
    times: RunTimeEstimator,
    wallNow: number,
  ): WaitingJob[] {
    const ranked: WaitingJob[] = [];
    for (const run of this.jobs) {
      const steps = run.readySteps().filter((step) => mayAssign(run, step));
      if (steps.length > 0) {
        ranked.push({ rank: rankJob(run, policyOf(run), times, wallNow), run, steps });
      }
    }
    return ranked.sort((a, b) => compareRanks(a.rank, b.rank));
  }
}
