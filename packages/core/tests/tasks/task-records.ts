import type { Task, TaskCause, TaskRecordOf } from '@sequoiaquay/core';

const BY = { by: 'entry-0', v: 1 } as const;
const DEMAND = { accelerators: 0, memoryMb: 1024, processors: 1 };

/** Creates a record that accepts a task. */
export function task(id: string, at: number, spec: Partial<TaskRecordOf<'task'>> = {}): TaskRecordOf<'task'> {
  return {
    ...BY,
    at,
    body: 'body',
    contentType: 'text/plain',
    demand: DEMAND,
    digest: 'digest',
    id,
    job: 'render',
    kind: 'task',
    maxAttempts: 3,
    pool: 'batch',
    repeatable: true,
    scope: 'voyages',
    urgent: false,
    ...spec,
  };
}

/** Creates a record that leases an attempt of a task to a worker. */
export function lease(
  id: string,
  of: string,
  attempt: number,
  worker: string,
  at: number,
  until: number,
): TaskRecordOf<'task-lease'> {
  return {
    ...BY,
    at,
    attempt,
    demand: DEMAND,
    entry: 'entry-0',
    id,
    kind: 'task-lease',
    skewMs: 100,
    task: of,
    until,
    worker,
  };
}

/** Creates a record that renews a lease. */
export function renew(
  id: string,
  of: string,
  attempt: number,
  at: number,
  until: number,
): TaskRecordOf<'task-renew'> {
  return {
    ...BY,
    at,
    attempt,
    checkpoint: `c-${at}`,
    entry: 'entry-1',
    id,
    kind: 'task-renew',
    progress: 0.5,
    task: of,
    until,
  };
}

/** Creates a record that ends a task with an answer. */
export function done(id: string, of: string, attempt: number, at: number): TaskRecordOf<'task-done'> {
  return { ...BY, at, attempt, body: 'answer', contentType: 'text/plain', id, kind: 'task-done', task: of };
}

/** Creates a record that ends an attempt without an answer. */
export function failed(
  id: string,
  of: string,
  attempt: number,
  cause: TaskCause,
  at: number,
): TaskRecordOf<'task-failed'> {
  return { ...BY, at, attempt, cause, id, kind: 'task-failed', reason: 'because', task: of };
}

/** Creates a record that cancels a task. */
export function cancel(id: string, of: string, at: number): TaskRecordOf<'task-cancel'> {
  return { ...BY, at, id, kind: 'task-cancel', task: of };
}

/** Creates a record that contains the complete state of a task. */
export function snapshot(id: string, state: Task, asOf: number, at: number): TaskRecordOf<'task-state'> {
  return { ...BY, asOf, at, id, kind: 'task-state', state, task: state.id };
}
