import type { KeyedRecord, StateRecord } from './job-record';
import type { RackStart } from './near-places';
import type { Task } from './task';
import type { ThrottleOrder } from './throttle';
import type { Worker } from './worker';

/** Order to start a run; it is sent after the records of its plan are stored. */
export interface StartOrder {
  /** Undefined for a task that is as fast on any worker. */
  rackStart?: RackStart | undefined;
  run: number;
  task: Task;
  worker: Worker;
}

/** Order to stop a run; the run may be one that the leader did not assign. */
export interface StopOrder {
  run: number;
  task: string;
  worker: Worker;
}

/** Ends of runs on a worker that are stored with the records of a plan. */
export interface StoredEnds {
  /** Start time of the worker's incarnation to which the number belongs, in ms since the epoch. */
  bornAt: number;
  /** Sequence number of the last end that is stored. */
  number: number;
  worker: Worker;
}

/** Records and orders that the leader carries out next. */
export interface Plan {
  ends: StoredEnds[];
  /** Stored before the ends, starts and states of the plan are carried out. */
  records: KeyedRecord[];
  starts: StartOrder[];
  /** States of jobs to report to callers. */
  states: StateRecord[];
  stops: StopOrder[];
  /** Sent immediately, without waiting for the records. */
  throttles: ThrottleOrder[];
}

/** Logged decisions about jobs and workers. */
export const DECISION = {
  acknowledgedByOther: 'ends-acknowledged-to-another',
  acknowledgementUnanswered: 'ends-acknowledgement-unanswered',
  assigned: 'task-assigned',
  checkpointNotStored: 'checkpoint-not-stored',
  crashDisproved: 'crash-disproved',
  crashSuspected: 'crash-suspected',
  ended: 'run-ended',
  moved: 'run-moved',
  jobEnded: 'job-ended',
  lost: 'run-lost',
  throttled: 'run-paced',
  waitsForRack: 'task-waits-for-rack',
  orderRefused: 'order-refused',
  overdue: 'run-overdue',
  stopped: 'run-stop-ordered',
  workerClosed: 'worker-closed',
  workerCrashed: 'worker-crashed',
  workerFound: 'worker-found',
  workerKept: 'worker-kept',
  workerQuarantined: 'worker-paused',
  workerRemoved: 'worker-removed',
  workerReopened: 'worker-reopened',
  workerReplaced: 'worker-replaced',
  workerResized: 'worker-resized',
  workerRestarted: 'worker-restarted',
  workerUnknown: 'worker-unknown',
} as const;

/** Logs a decision of the leader together with the data that it is based on. */
export type DecisionLog = (
  decision: (typeof DECISION)[keyof typeof DECISION],
  data: Record<string, unknown>,
) => void;
