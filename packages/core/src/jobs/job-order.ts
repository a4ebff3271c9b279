import type { QueueConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { JobSpec } from './job-spec';

/** What the order of jobs depends on. */
export interface JobRank {
  /** Wall clock by which callers expect the job, in ms. */
  expectedAt: number;
  /** The job has tasks that run until it is cancelled. */
  longRunning: boolean;
  /** 0 comes first. */
  priority: number;
}

/** Estimated length of the longest chain of steps, in ms. */
export function estimatedChainMs(spec: JobSpec): number {
  const endsAt: number[] = [];
  for (const step of spec.steps) {
    const startsAt = Math.max(0, ...step.after.map((before) => endsAt[before] ?? 0));
    endsAt.push(startsAt + step.estimatedMs);
  }
  return Math.max(0, ...endsAt);
}

/** Rank of a job of a queue. */
export function rankJob(job: JobRun, queue: QueueConfig | undefined): JobRank {
  const { acceptedAt, spec } = job.job;
  const workMs = (queue?.stretch ?? 1) * estimatedChainMs(spec);
  return {
    expectedAt: acceptedAt + workMs + (queue?.targetMs ?? 0),
    longRunning: job.isLongRunning,
    priority: queue?.priority ?? 0,
  };
}

/**
 * Order of two jobs that wait for the same workers. Tasks that serve users come first, then urgent
 * queues, then jobs that can still be in time, by the time at which they are expected.
 */
export function compareRanks(a: JobRank, b: JobRank, wallNow: number): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    Number(a.expectedAt < wallNow) - Number(b.expectedAt < wallNow) ||
    a.priority - b.priority ||
    a.expectedAt - b.expectedAt
  );
}
