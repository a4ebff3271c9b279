import type { KeyedRecord, StateRecord } from './job-record';
import type { PaceOrder } from './pacing';
import type { Task } from './task';
import type { Worker } from './worker';

/** Order to start a run, to be sent once the records of its plan are stored. */
export interface StartOrder {
  run: number;
  task: Task;
  worker: Worker;
}

/** Order to stop a run; it may name a run that the leader doesn't know. */
export interface StopOrder {
  run: number;
  task: string;
  worker: Worker;
}

/** Ends of runs that are stored with the records of a plan. */
export interface StoredEnds {
  /** Start of the worker's life that the numbers belong to, in ms since the epoch. */
  bornAt: number;
  /** Ends up to this number. */
  number: number;
  worker: Worker;
}

/** What the leader does next. */
export interface Plan {
  ends: StoredEnds[];
  /** To be sent at once. */
  paces: PaceOrder[];
  /** To be stored before anything else of the plan is done, but for the stops. */
  records: KeyedRecord[];
  starts: StartOrder[];
  /** To be told to callers. */
  states: StateRecord[];
  stops: StopOrder[];
}

/** Decisions about jobs and workers that are logged. */
export const DECISION = {
  assigned: 'task-assigned',
  ended: 'run-ended',
  evacuated: 'run-moved',
  jobEnded: 'job-ended',
  lost: 'run-lost',
  paced: 'run-paced',
  orderRefused: 'order-refused',
  stopped: 'run-stop-ordered',
  workerFound: 'worker-found',
  workerPaused: 'worker-paused',
  workerRemoved: 'worker-removed',
  workerRestarted: 'worker-restarted',
} as const;

/** Takes the decisions of the leader, with what decided them. */
export type DecisionLog = (
  decision: (typeof DECISION)[keyof typeof DECISION],
  data: Record<string, unknown>,
) => void;
