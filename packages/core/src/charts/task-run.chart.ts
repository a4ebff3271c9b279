import type { Chart } from './chart';

/** Phases of a task, as its leader sees them. */
export type TaskPhase = 'done' | 'running' | 'starting' | 'stopping' | 'unsure' | 'waiting';

/** Events in the life of a task. */
export type TaskEvent = 'assign' | 'confirm' | 'finish' | 'lose' | 'release' | 'stop';

/**
 * Life of a task: it waits, is assigned to a worker, runs and ends. `unsure` means that an order was sent
 * and whether it was carried out is not known; such a task is not assigned again before that is known.
 */
export const taskRunChart: Chart<TaskPhase, TaskEvent> = {
  initial: 'waiting',
  states: {
    done: {},
    running: { confirm: 'running', finish: 'done', release: 'waiting', stop: 'stopping' },
    starting: { confirm: 'running', finish: 'done', lose: 'unsure', release: 'waiting', stop: 'stopping' },
    stopping: { confirm: 'stopping', finish: 'done', lose: 'stopping', release: 'waiting', stop: 'stopping' },
    unsure: { confirm: 'running', finish: 'done', lose: 'unsure', release: 'waiting', stop: 'stopping' },
    waiting: { assign: 'starting', finish: 'done' },
  },
};
