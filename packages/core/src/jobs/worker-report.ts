/** A run that a worker lists as running. */
export interface RunningRow {
  checkpoint: string;
  /** Processor time in use, or the tail of a serving task in ms. */
  load: number;
  percent: number;
  run: number;
  task: string;
}

/** Ways in which a run can end. */
export const RUN_END = {
  /** The other members of its gang did not come. */
  alone: 'alone',
  /** Another member of its gang ended. */
  broken: 'broken',
  done: 'done',
  failed: 'failed',
  /** Its lease ended. */
  lapsed: 'lapsed',
  stopped: 'stopped',
} as const;

/** Way in which a run ended. */
export type RunEnd = (typeof RUN_END)[keyof typeof RUN_END];

/** A run that has ended on a worker. */
export interface EndRow {
  checkpoint: string;
  end: RunEnd;
  /** Number of the end in this life of the worker; rises. */
  number: number;
  run: number;
  task: string;
}

/** A worker's answer about what it runs and what has ended. */
export interface WorkerReport {
  /** Start of the worker's life, in ms since the epoch. */
  bornAt: number;
  /** Clock of the worker, in ms. */
  clockMs: number;
  ended: EndRow[];
  running: RunningRow[];
}

/** What became of an order to start a run. */
export const START_ANSWER = {
  /** Orders of a later term have arrived there. */
  fenced: 'fenced',
  /** The worker did not take it and can't take others for now. */
  refused: 'refused',
  /** The worker has no room. */
  room: 'room',
  /** Not known. */
  silent: 'silent',
  started: 'started',
  /** A run with this number or a later one has ended there. */
  stale: 'stale',
} as const;

/** What became of an order to start a run. */
export type StartAnswer = (typeof START_ANSWER)[keyof typeof START_ANSWER];
