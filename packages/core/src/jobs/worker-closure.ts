/** Reasons why no new tasks are assigned to a worker, as they appear in the log. */
export const CLOSURE = {
  /** Ends have to be acknowledged before another order can be sent. */
  acknowledging: 'ends-unacknowledged',
  /** An acknowledgement without an answer may still be carried out. */
  acknowledgedLate: 'acknowledgement-unanswered',
  deregistered: 'not-registered',
  draining: 'draining',
  evacuating: 'emptied',
  notAsked: 'not-asked',
  orphans: 'orphaned-runs',
  paused: 'paused',
  silent: 'silent',
} as const;

/** State of a worker to which no new tasks are assigned. */
export interface WorkerClosure {
  /** What the worker is emptied for, the number of orphaned runs, or the time that is left in ms. */
  detail?: number | string;
  reason: (typeof CLOSURE)[keyof typeof CLOSURE];
}
