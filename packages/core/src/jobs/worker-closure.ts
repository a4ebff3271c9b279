/** Reasons why no new tasks are assigned to a worker, as they appear in the log. */
export const CLOSURE = {
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
  /** What the worker is emptied for, the number of orphaned runs, or the rest of its pause in ms. */
  detail?: number | string;
  reason: (typeof CLOSURE)[keyof typeof CLOSURE];
}
