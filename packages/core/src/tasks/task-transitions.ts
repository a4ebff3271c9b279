import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { TaskEvent } from '../charts/task.chart';
import type { TaskRecordOf } from '../records/task-record';
import type { Task } from './task';
import { transition } from '../charts/chart';
import { taskChart } from '../charts/task.chart';

/** Maximum number of ended attempts stored with a task, because attempts that never ran are not limited. */
const MAX_STORED_ATTEMPTS = 20;

/** Creates the task that a record describes. */
export function newTask(record: TaskRecordOf<'task'>): Task {
  return {
    at: record.at,
    attempt: 0,
    body: record.body,
    contentType: record.contentType,
    demand: record.demand,
    digest: record.digest,
    failedOn: [],
    failures: 0,
    id: record.id,
    job: record.job,
    key: record.key,
    maxAttempts: record.maxAttempts,
    pool: record.pool,
    progress: 0,
    repeatable: record.repeatable,
    scope: record.scope,
    state: taskChart.initial,
    tries: [],
    urgent: record.urgent,
  };
}

/** Applies an event to the state of a task; fails when the state chart has no such transition. */
export function applyTaskEvent(task: Task, event: TaskEvent): Result<void, 'wrong-state'> {
  const next = transition(taskChart, task.state, event);
  if (next === undefined) {
    return err('wrong-state');
  }
  task.state = next;
  return ok();
}

/** Records the end of a task and releases its lease. */
export function endTask(task: Task, at: number): void {
  task.endedAt = at;
  task.lease = undefined;
}

/** Records an attempt that ended without an answer and returns the resulting event of the task. */
export function recordEndedAttempt(
  task: Task,
  worker: string,
  record: TaskRecordOf<'task-failed'>,
): 'exhausted' | 'lost' | 'retry' {
  const { at, attempt, cause, reason } = record;
  task.tries.push({ at, attempt, cause, reason, worker });
  task.tries = task.tries.slice(-MAX_STORED_ATTEMPTS);
  switch (cause) {
    case 'job':
      return countFailure(task, worker);
    case 'lapsed':
      return task.repeatable ? countFailure(task, worker) : 'lost';
    case 'moved':
    case 'stopped':
      return task.repeatable ? storeCheckpoint(task, record) : 'lost';
    case 'no-room':
    case 'not-started':
      return 'retry';
  }
}

// Repeated failures on one worker count half: a task must also end in a pool with fewer than `maxAttempts` workers.
function countFailure(task: Task, worker: string): 'exhausted' | 'retry' {
  task.failures += 1;
  if (!task.failedOn.includes(worker)) {
    task.failedOn.push(worker);
  }
  const isExhausted = task.failedOn.length >= task.maxAttempts || task.failures >= 2 * task.maxAttempts;
  return isExhausted || !task.repeatable ? 'exhausted' : 'retry';
}

function storeCheckpoint(task: Task, record: TaskRecordOf<'task-failed'>): 'retry' {
  task.checkpoint = record.checkpoint ?? task.checkpoint;
  task.progress = record.progress ?? task.progress;
  return 'retry';
}
