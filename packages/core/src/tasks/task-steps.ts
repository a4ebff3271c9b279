import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { TaskEvent } from '../charts/task.chart';
import type { TaskRecordOf } from '../records/task-record';
import type { Task } from './task';
import { transition } from '../charts/chart';
import { taskChart } from '../charts/task.chart';

/** Tries kept with a task; those that never ran must not make it grow without limit. */
const MAX_TRIES_KEPT = 20;

/** Builds the task that an accepted record describes. */
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

/** Takes a task along its chart. */
export function move(task: Task, event: TaskEvent): Result<void, 'wrong-state'> {
  const next = transition(taskChart, task.state, event);
  if (next === undefined) {
    return err('wrong-state');
  }
  task.state = next;
  return ok();
}

/** Notes the end of a task and frees its place. */
export function endTask(task: Task, at: number): void {
  task.endedAt = at;
  task.lease = undefined;
}

/** Notes a try without an answer and says what it means for the task. */
export function noteTry(
  task: Task,
  worker: string,
  record: TaskRecordOf<'task-failed'>,
): 'exhausted' | 'lost' | 'retry' {
  const { at, attempt, cause, reason } = record;
  task.tries.push({ at, attempt, cause, reason, worker });
  task.tries = task.tries.slice(-MAX_TRIES_KEPT);
  switch (cause) {
    case 'job':
      return countFailure(task, worker);
    case 'lapsed':
      return task.repeatable ? countFailure(task, worker) : 'lost';
    case 'moved':
    case 'stopped':
      return task.repeatable ? resumeFrom(task, record) : 'lost';
    case 'no-room':
    case 'not-started':
      return 'retry';
  }
}

// Tries on the same worker count half: a pool with fewer workers than `maxAttempts` must come to an end too.
function countFailure(task: Task, worker: string): 'exhausted' | 'retry' {
  task.failures += 1;
  if (!task.failedOn.includes(worker)) {
    task.failedOn.push(worker);
  }
  const spent = task.failedOn.length >= task.maxAttempts || task.failures >= 2 * task.maxAttempts;
  return spent || !task.repeatable ? 'exhausted' : 'retry';
}

function resumeFrom(task: Task, record: TaskRecordOf<'task-failed'>): 'retry' {
  task.checkpoint = record.checkpoint ?? task.checkpoint;
  task.progress = record.progress ?? task.progress;
  return 'retry';
}
