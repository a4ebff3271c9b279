import type { Chart } from './chart';

/** Phase of a task, as the leader tracks it. */
export type TaskPhase = 'done' | 'running' | 'starting' | 'stopping' | 'unconfirmed' | 'waiting';

/** Event that moves a task to another phase. */
export type TaskEvent = 'assign' | 'confirm' | 'finish' | 'lose' | 'release' | 'stop';

/**
 * State chart of a task: it waits, is assigned to a worker, runs and ends. In the phase `unconfirmed` an
 * order to start was sent without an answer, so it is unknown whether the worker executed it. Such a task
 * is not assigned again until that is known.
 */
export const taskRunChart: Chart<TaskPhase, TaskEvent> = {
  initial: 'waiting',
  states: {
    done: {},
    running: { confirm: 'running', finish: 'done', release: 'waiting', stop: 'stopping' },
    starting: {
      confirm: 'running',
      finish: 'done',
      lose: 'unconfirmed',
      release: 'waiting',
      stop: 'stopping',
    },
    stopping: { confirm: 'stopping', finish: 'done', lose: 'stopping', release: 'waiting', stop: 'stopping' },
    unconfirmed: {
      confirm: 'running',
      finish: 'done',
      lose: 'unconfirmed',
      release: 'waiting',
      stop: 'stopping',
    },
    waiting: { assign: 'starting', finish: 'done' },
  },
};
