import type { JobPolicy } from './fleet-config';
import type { JobRun } from './job-run';
import type { RunTimeEstimator } from './run-time-estimator';

/** Whether a job can still meet its deadline; lower values are scheduled first. */
export const DEADLINE_STATUS = {
  /** The job can still finish within its expected time. */
  onTime: 0,
  /** The job can still finish within `LATE_FACTOR` times its expected time. */
  late: 1,
  /** The job cannot finish within that time. */
  missed: 2,
} as const;

/** Multiple of the expected time within which the result of a late job is still useful. */
const LATE_FACTOR = 3;

/** Scheduling rank of a job among the jobs that wait for the same workers. */
export interface JobRank {
  deadlineStatus: (typeof DEADLINE_STATUS)[keyof typeof DEADLINE_STATUS];
  /** Latest wall clock time at which the next step can start for the job to be on time or late, in ms. */
  latestStart: number;
  longRunning: boolean;
  /** Priority of the queue; 0 is the highest. */
  priority: number;
}

/** Returns the wall clock time at which the newest occurrence of a job could start, in ms. */
export function findReleaseTime({ job, occurrences }: JobRun): number {
  const { acceptedAt, spec } = job;
  return spec.schedule === undefined
    ? acceptedAt
    : spec.schedule.firstAt + (occurrences.length - 1) * spec.schedule.intervalMs;
}

/** Returns the rank of a job at a wall clock time in ms. */
export function rankJob(
  run: JobRun,
  policy: JobPolicy | undefined,
  times: RunTimeEstimator,
  wallNow: number,
): JobRank {
  const longRunning = run.isLongRunning;
  const priority = policy?.priority ?? 0;
  const { expectedMs, releasedAt, remainingMs } = timesOf(run, policy, times);
  const latestOnTimeStart = releasedAt + expectedMs - remainingMs;
  if (wallNow <= latestOnTimeStart) {
    return { deadlineStatus: DEADLINE_STATUS.onTime, latestStart: latestOnTimeStart, longRunning, priority };
  }
  const latestUsefulStart = releasedAt + LATE_FACTOR * expectedMs - remainingMs;
  return {
    deadlineStatus: wallNow <= latestUsefulStart ? DEADLINE_STATUS.late : DEADLINE_STATUS.missed,
    latestStart: latestUsefulStart,
    longRunning,
    priority,
  };
}

/**
 * Returns the time by which the next step of a job can start later at a wall clock time in ms for the job to finish
 * within its expected time, in ms; negative if it can't.
 */
export function slackMs(
  run: JobRun,
  policy: JobPolicy | undefined,
  times: RunTimeEstimator,
  wallNow: number,
): number {
  const { expectedMs, releasedAt, remainingMs } = timesOf(run, policy, times);
  return releasedAt + expectedMs - remainingMs - wallNow;
}

/** Times of a job that its rank follows from. */
interface JobTimes {
  /** Time from its release within which the job should finish, in ms. */
  expectedMs: number;
  /** Wall clock time of its release, in ms. */
  releasedAt: number;
  /** Expected duration of the critical path through the steps that are not done, in ms. */
  remainingMs: number;
}

function timesOf(run: JobRun, policy: JobPolicy | undefined, times: RunTimeEstimator): JobTimes {
  const releasedAt = findReleaseTime(run);
  const expectedMs = (policy?.stretch ?? 1) * times.criticalPathMs(run, () => true) + (policy?.targetMs ?? 0);
  const remainingMs = times.criticalPathMs(run, (step) => step.unfinishedCount > 0);
  return { expectedMs, releasedAt, remainingMs };
}

/**
 * Compares the ranks of two jobs that wait for the same workers. Long-running jobs, which serve users, come
 * first, then queues by priority. Under overload, jobs that can no longer finish on time come after those
 * that can.
 */
export function compareRanks(a: JobRank, b: JobRank): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    a.priority - b.priority ||
    a.deadlineStatus - b.deadlineStatus ||
    a.latestStart - b.latestStart
  );
}
