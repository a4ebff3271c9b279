import { seededRandom } from '@sequoiaquay/stand-ins';

/** Request of a recorded trace. Times in ms. */
export interface Arrival {
  at: number;
  /** Time after arrival by which the request must have started. */
  deadlineMs: number;
  /** Entry that receives the request, from 0. */
  entry: number;
  id: string;
  job: string;
  kind: 'long' | 'short' | 'straggler';
  runMs: number;
  urgent: boolean;
}

/**
 * How work is named: `fixed` gives short and long work a job each, `fresh` gives both new names at the start of
 * each peak, `mixed` gives all work one job.
 */
export type JobNaming = 'fixed' | 'fresh' | 'mixed';

/** Shape of a trace. Times in ms. */
export interface TraceShape {
  durationMs: number;
  entries: number;
  jobs: JobNaming;
  /** Requests a second, as a mean over a period. */
  meanPerSecond: number;
  seed: number;
}

/** Load of one part of a period, as a multiple of the mean. */
interface Phase {
  factor: number;
  lengthMs: number;
}

// The factors weighted by length add up to a mean of 1.
const PHASES: readonly Phase[] = [
  { factor: 0.538, lengthMs: 17_000 },
  { factor: 5, lengthMs: 6000 },
  { factor: 0.05, lengthMs: 17_000 },
];

const PERIOD_MS = PHASES.reduce((sum, phase) => sum + phase.lengthMs, 0);
const MAX_FACTOR = 5;

/** Time into a period at which its peak begins, in ms. */
const PEAK_AT_MS = 17_000;

/** Kinds of work with their share of the requests and their run time in ms. */
export const KINDS = {
  long: { deadlineMs: 30_000, job: 'report', runMs: 1500, share: 0.097 },
  short: { deadlineMs: 5000, job: 'quote', runMs: 50, share: 0.9 },
  straggler: { deadlineMs: 30_000, job: 'report', runMs: 45_000, share: 0.003 },
} as const;

/** Mean run time of the requests, in ms. */
export const MEAN_RUN_MS = Object.values(KINDS).reduce((sum, kind) => sum + kind.share * kind.runMs, 0);

const URGENT_SHARE = 0.01;

/** Run times vary evenly by this share in both directions. */
const RUN_SPREAD = 0.2;

/** Whether a time, in ms, lies in a peak. */
export function isPeak(at: number): boolean {
  return factorAt(at) === MAX_FACTOR;
}

/** Requests of a shape, ordered by arrival; the same seed gives the same trace. */
export function recordTrace(shape: TraceShape): Arrival[] {
  const random = seededRandom(shape.seed);
  const arrivals: Arrival[] = [];
  const maxPerMs = (shape.meanPerSecond * MAX_FACTOR) / 1000;
  for (let at = 0; at < shape.durationMs;) {
    at += -Math.log(1 - random()) / maxPerMs;
    if (random() < factorAt(at) / MAX_FACTOR) {
      arrivals.push(arrival(at, arrivals.length, shape, random));
    }
  }
  return arrivals;
}

function arrival(at: number, index: number, shape: TraceShape, random: () => number): Arrival {
  const kind = kindOf(random());
  const { deadlineMs, job, runMs } = KINDS[kind];
  return {
    at,
    deadlineMs,
    entry: Math.floor(random() * shape.entries),
    id: `r${index}`,
    job: jobName(job, at, shape.jobs),
    kind,
    runMs: runMs * (1 + RUN_SPREAD * (2 * random() - 1)),
    urgent: random() < URGENT_SHARE,
  };
}

function jobName(job: string, at: number, naming: JobNaming): string {
  switch (naming) {
    case 'fixed':
      return job;
    case 'fresh':
      return `${job}-${Math.floor((at - PEAK_AT_MS) / PERIOD_MS) + 1}`;
    case 'mixed':
      return 'mixed';
  }
}

function kindOf(draw: number): Arrival['kind'] {
  if (draw < KINDS.straggler.share) {
    return 'straggler';
  }
  return draw < KINDS.straggler.share + KINDS.long.share ? 'long' : 'short';
}

function factorAt(at: number): number {
  let left = at % PERIOD_MS;
  for (const phase of PHASES) {
    left -= phase.lengthMs;
    if (left < 0) {
      return phase.factor;
    }
  }
  return 0;
}
