import type { Chart } from './chart';

/** State of a task. */
export type TaskState = 'cancelled' | 'done' | 'failed' | 'pending' | 'running' | 'unknown';

/** Event that changes the state of a task. */
export type TaskEvent = 'cancel' | 'done' | 'exhausted' | 'lease' | 'lost' | 'retry';

/** States of a task: pending, running under a lease, pending again after a retry, and four final states. */
export const taskChart: Chart<TaskState, TaskEvent> = {
  initial: 'pending',
  states: {
    cancelled: {},
    done: {},
    failed: {},
    pending: { cancel: 'cancelled', lease: 'running' },
    running: { cancel: 'cancelled', done: 'done', exhausted: 'failed', lost: 'unknown', retry: 'pending' },
    unknown: {},
  },
};
