import type { Chart } from './chart';

/** State of a task. */
export type TaskState = 'cancelled' | 'done' | 'failed' | 'pending' | 'running' | 'unknown';

/** Event of a task's life. */
export type TaskEvent = 'cancel' | 'done' | 'exhausted' | 'lease' | 'lost' | 'retry';

/** Life of a task: pending, running under a lease, perhaps pending again, and one of four ends. */
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
