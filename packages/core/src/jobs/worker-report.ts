import type { IncarnationProof } from './worker';

/** Run that a worker reports as running. */
export interface ReportedRun {
  checkpoint: string;
  /** Processor time in use, or the tail latency of a serving task in ms. */
  load: number;
  percent: number;
  run: number;
  task: string;
}

/** Ways in which a run ends. */
export const RUN_END = {
  /** The other members of its gang did not start. */
  alone: 'alone',
  /** Another member of its gang ended. */
  broken: 'broken',
  done: 'done',
  failed: 'failed',
  /** Its lease expired. */
  lapsed: 'lapsed',
  stopped: 'stopped',
} as const;

/** Way in which a run ended. */
export type RunEnd = (typeof RUN_END)[keyof typeof RUN_END];

/** Run that a worker reports as ended. */
export interface ReportedEnd {
  checkpoint: string;
  end: RunEnd;
  /** Sequence number of the end; increases within the worker's incarnation. */
  number: number;
  run: number;
  task: string;
}

/** Report of a worker about its running and ended runs. */
export interface WorkerReport {
  /** Start time of the worker's incarnation, in ms since the epoch. */
  bornAt: number;
  /** Reading of the worker's clock, in ms. */
  clockMs: number;
  ended: ReportedEnd[];
  /** Whether the worker may have more ends, which it lists once those in `ended` are acknowledged. */
  hasMoreEnds?: boolean;
  running: ReportedRun[];
}

/** Outcomes of an order to start a run. */
export const START_ANSWER = {
  /** The worker has received calls of a later term. */
  fenced: 'fenced',
  /** The worker refused the order and cannot accept others for now. */
  refused: 'refused',
  /** The worker has not enough free capacity. */
  noCapacity: 'room',
  /** The order itself is at fault, so that other workers would refuse it as well. */
  invalid: 'invalid',
  /** The deadline of the lease had passed on the worker's clock. */
  late: 'late',
  /** The worker refused the permit for the task's step, or there was none. */
  noPermit: 'permit',
  /** The worker did not answer, so the outcome is unknown. */
  noAnswer: 'silent',
  started: 'started',
  /** A run of the task with this or a higher number has already ended on the worker. */
  stale: 'stale',
} as const;

/** Outcome of an order to start a run. */
export type StartAnswer = (typeof START_ANSWER)[keyof typeof START_ANSWER];

/** Reading of a worker's clock in the answer to an order. */
export interface AnswerClock {
  /** What tells the known incarnation from a later one, as of the time at which the order was sent. */
  expected: IncarnationProof;
  /** The reading, in ms. */
  readingMs: number;
}

/** Incarnation that answered an order. */
export const ANSWERED_BY = { known: 'known', later: 'later', unknown: 'unknown' } as const;

/**
 * Tells which incarnation gave an answer that arrived at a monotonic time in ms. The clock of a later one is behind, and
 * it shows no more than the time since the known one was last alive.
 */
export function identifyIncarnation(
  { expected, readingMs }: AnswerClock,
  now: number,
): (typeof ANSWERED_BY)[keyof typeof ANSWERED_BY] {
  if (readingMs < expected.minClockMs) {
    return ANSWERED_BY.later;
  }
  return readingMs > now - expected.aliveAt ? ANSWERED_BY.known : ANSWERED_BY.unknown;
}
