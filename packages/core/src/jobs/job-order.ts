import type { QueueConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { RunTimes } from './run-times';

/** Chances of a job to be in time. */
const CHANCE = {
  /** It can still be done in the time in which callers expect it. */
  inTime: 0,
  /** It can still be done in a few times that time. */
  late: 1,
  lost: 2,
} as const;

/** Times the expected time within which a late job is still of use. */
const LATE_FACTOR = 3;

/** Place of a job among those that wait for the same workers. */
export interface JobRank {
  chance: (typeof CHANCE)[keyof typeof CHANCE];
  /** Wall clock by which the next step must start for the job to keep its chance, in ms. */
  latestStart: number;
  longRunning: boolean;
  /** 0 comes first. */
  priority: number;
}

/** Place of a job at a wall clock time. */
export function rankJob(
  run: JobRun,
  queue: QueueConfig | undefined,
  times: RunTimes,
  wallNow: number,
): JobRank {
  const base = { longRunning: run.isLongRunning, priority: queue?.priority ?? 0 };
  const { acceptedAt, spec } = run.job;
  const startedAt =
    spec.schedule === undefined
      ? acceptedAt
      : spec.schedule.firstAt + (run.occurrences.length - 1) * spec.schedule.intervalMs;
  const expectedMs = (queue?.stretch ?? 1) * times.chain(run, () => true) + (queue?.targetMs ?? 0);
  const leftMs = times.chain(run, (step) => step.open > 0);
  const inTime = startedAt + expectedMs - leftMs;
  if (wallNow <= inTime) {
    return { ...base, chance: CHANCE.inTime, latestStart: inTime };
  }
  const late = startedAt + LATE_FACTOR * expectedMs - leftMs;
  return { ...base, chance: wallNow <= late ? CHANCE.late : CHANCE.lost, latestStart: late };
}

/**
 * Order of two jobs that wait for the same workers. Tasks that serve users come first, then urgent
 * queues. Under overload jobs that can't be in time any more stand back for those that can.
 */
export function compareRanks(a: JobRank, b: JobRank): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    a.priority - b.priority ||
    a.chance - b.chance ||
    a.latestStart - b.latestStart
  );
}
