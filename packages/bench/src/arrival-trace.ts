import { seededRandom } from '@sequoiaquay/stand-ins';

/** Request of a trace. Times in ms. */
export interface Arrival {
  arrivedAt: number;
  /** Longest wait after arrival; a request that starts later has missed its deadline. */
  deadlineMs: number;
  /** Index of the entry that receives the request, from 0. */
  entry: number;
  id: string;
  job: string;
  kind: 'long' | 'short' | 'straggler';
  runMs: number;
  urgent: boolean;
}

/**
 * How jobs are named: `fixed` uses one job for short and one for long requests, `fresh` uses new names for both
 * from the onset of each peak, `mixed` uses one job for all requests.
 */
export type JobNaming = 'fixed' | 'fresh' | 'mixed';

/** Options of a generated trace. Times in ms. */
export interface TraceOptions {
  durationMs: number;
  entries: number;
  jobNaming: JobNaming;
  /** Requests per second, averaged over a period of the load. */
  meanPerSecond: number;
  seed: number;
}

/** Phase of a load period. */
interface LoadPhase {
  /** Load as a multiple of the mean load. */
  factor: number;
  lengthMs: number;
}

// The mean of the factors, weighted by length, is 1.
const LOAD_PHASES: readonly LoadPhase[] = [
  { factor: 0.538, lengthMs: 17_000 },
  { factor: 5, lengthMs: 6000 },
  { factor: 0.05, lengthMs: 17_000 },
];

const PERIOD_MS = LOAD_PHASES.reduce((sum, phase) => sum + phase.lengthMs, 0);
const MAX_LOAD_FACTOR = 5;

/** Offset of the peak's onset from the start of a period. */
const PEAK_ONSET_MS = 17_000;

/** Kinds of requests with their deadline and mean run time in ms and their share of all requests. */
export const WORK_KINDS = {
  long: { deadlineMs: 30_000, job: 'report', runMs: 1500, share: 0.097 },
  short: { deadlineMs: 5000, job: 'quote', runMs: 50, share: 0.9 },
  straggler: { deadlineMs: 30_000, job: 'report', runMs: 45_000, share: 0.003 },
} as const;

/** Mean run time of the requests, in ms. */
export const MEAN_RUN_MS = Object.values(WORK_KINDS).reduce((sum, kind) => sum + kind.share * kind.runMs, 0);

const URGENT_SHARE = 0.01;

/** Run times are uniformly distributed within this share of the mean in both directions. */
const RUN_TIME_SPREAD = 0.2;

/** Returns whether a time of the trace, in ms, lies in a peak. */
export function isPeak(timeMs: number): boolean {
  return loadFactorAt(timeMs) === MAX_LOAD_FACTOR;
}

/**
 * Generates requests as a Poisson process with a periodic rate, in order of arrival. The same options, including
 * the seed, give the same trace.
 */
export function generateTrace(options: TraceOptions): Arrival[] {
  const random = seededRandom(options.seed);
  const arrivals: Arrival[] = [];
  const maxPerMs = (options.meanPerSecond * MAX_LOAD_FACTOR) / 1000;
  for (let timeMs = 0; timeMs < options.durationMs;) {
    timeMs += -Math.log(1 - random()) / maxPerMs;
    if (random() < loadFactorAt(timeMs) / MAX_LOAD_FACTOR) {
      arrivals.push(createArrival(timeMs, arrivals.length, options, random));
    }
  }
  return arrivals;
}

function createArrival(
  arrivedAt: number,
  index: number,
  options: TraceOptions,
  random: () => number,
): Arrival {
  const kind = drawKind(random());
  const { deadlineMs, job, runMs } = WORK_KINDS[kind];
  return {
    arrivedAt,
    deadlineMs,
    entry: Math.floor(random() * options.entries),
    id: `r${index}`,
    job: jobNameAt(job, arrivedAt, options.jobNaming),
    kind,
    runMs: runMs * (1 + RUN_TIME_SPREAD * (2 * random() - 1)),
    urgent: random() < URGENT_SHARE,
  };
}

function jobNameAt(job: string, timeMs: number, naming: JobNaming): string {
  switch (naming) {
    case 'fixed':
      return job;
    case 'fresh':
      return `${job}-${Math.floor((timeMs - PEAK_ONSET_MS) / PERIOD_MS) + 1}`;
    case 'mixed':
      return 'mixed';
  }
}

function drawKind(randomValue: number): Arrival['kind'] {
  if (randomValue < WORK_KINDS.straggler.share) {
    return 'straggler';
  }
  return randomValue < WORK_KINDS.straggler.share + WORK_KINDS.long.share ? 'long' : 'short';
}

function loadFactorAt(timeMs: number): number {
  let remainingMs = timeMs % PERIOD_MS;
  for (const phase of LOAD_PHASES) {
    remainingMs -= phase.lengthMs;
    if (remainingMs < 0) {
      return phase.factor;
    }
  }
  return 0;
}
