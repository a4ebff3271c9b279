import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { TaskRecord, TaskRecordOf } from '../records/task-record';
import type { Task } from './task';
import { DemandEstimates } from './demand-estimates';
import { OrphanRecords } from './orphan-records';
import { hasEnded } from './task';
import { endTask, move, newTask, noteTry } from './task-steps';
import { WorkerHealth } from './worker-health';

/** Why the fold rejects a record about a task. */
export const TASK_REFUSAL = {
  keyMismatch: 'key-mismatch',
  notLapsed: 'not-lapsed',
  staleState: 'stale-state',
  unknownTask: 'unknown-task',
  wrongAttempt: 'wrong-attempt',
  wrongState: 'wrong-state',
} as const;
/** Why the fold rejects a record about a task. */
export type TaskRefusalReason = (typeof TASK_REFUSAL)[keyof typeof TASK_REFUSAL];

/** Verdict on a record about a task: the task as it is afterwards, or why the record changes nothing. */
export type TaskVerdict = Result<Task, TaskRefusalReason>;

/** Settings of the task table. */
export interface TaskTableSettings {
  /** Time for which a finished task and its key are remembered, in ms. */
  keepFinishedMs: number;
  /** Number of finished tasks whose answers are kept; older ones lose the answer first. */
  maxAnswers: number;
}

/** Where the newest record that carries a task whole is in the log. */
interface Carried {
  at: number;
  offset: number;
}

/** Answers kept when the settings don't say. */
const DEFAULT_MAX_ANSWERS = 10_000;

/**
 * Tasks, folded from the `work` stream in log order.
 * A result, renewal or failure counts only for the current attempt, so that what a fenced holder writes
 * changes nothing. Deterministic: replicas that read the same records agree.
 */
export class TaskTable {
  readonly #answered = new Set<string>();
  /** Newest whole records of ended and of live tasks, oldest first. */
  readonly #carriedEnded = new Map<string, Carried>();
  readonly #carriedLive = new Map<string, Carried>();
  readonly #ended = new Set<string>();
  readonly estimates = new DemandEstimates();
  readonly health = new WorkerHealth();
  readonly #keys = new Map<string, string>();
  readonly #live = new Set<string>();
  readonly #onWorker = new Map<string, Set<string>>();
  readonly #orphans = new OrphanRecords();
  readonly #settings: TaskTableSettings;
  #start = 0;
  readonly #tasks = new Map<string, Task>();

  constructor(settings: Partial<TaskTableSettings> & { keepFinishedMs: number }) {
    this.#settings = { maxAnswers: DEFAULT_MAX_ANSWERS, ...settings };
  }

  /** Number of tasks remembered, finished ones included. */
  get size(): number {
    return this.#tasks.size;
  }

  /** Task of an id, or undefined when there is none or it is forgotten. */
  find(id: string): Task | undefined {
    return this.#tasks.get(id);
  }

  /** Task that a key of a team stands for, or undefined. */
  findByKey(scope: string, key: string): Task | undefined {
    return this.#tasks.get(this.#keys.get(slotOf(scope, key)) ?? '');
  }

  /** Tasks that have not ended, in the order of acceptance. */
  live(): Task[] {
    return [...this.#live].flatMap((id) => this.#tasks.get(id) ?? []);
  }

  /** Tasks that hold a lease on a worker. */
  onWorker(worker: string): Task[] {
    return [...(this.#onWorker.get(worker) ?? [])].flatMap((id) => this.#tasks.get(id) ?? []);
  }

  /**
   * Tasks, live or ended, whose newest whole record is older than an offset or a time (ms since the epoch),
   * oldest first.
   */
  toCarry(which: 'ended' | 'live', beforeOffset: number, beforeAt: number, limit: number): Task[] {
    const due: Task[] = [];
    for (const [id, carried] of which === 'live' ? this.#carriedLive : this.#carriedEnded) {
      const task = this.#tasks.get(id);
      if (due.length >= limit || (carried.offset >= beforeOffset && carried.at >= beforeAt)) {
        break;
      }
      if (task !== undefined) {
        due.push(task);
      }
    }
    return due;
  }

  /** Offset of the newest record that carries a task whole. */
  carriedAt(id: string): Carried | undefined {
    return this.#carriedLive.get(id) ?? this.#carriedEnded.get(id);
  }

  /** Forgets everything: records before `offset` were trimmed unread, so the fold starts there. */
  restart(offset: number): void {
    for (const ids of [this.#answered, this.#ended, this.#live]) {
      ids.clear();
    }
    for (const known of [this.#carriedEnded, this.#carriedLive, this.#keys, this.#onWorker, this.#tasks]) {
      known.clear();
    }
    this.#orphans.clear();
    this.#start = offset;
  }

  /** Applies the record at an offset. */
  apply(offset: number, record: TaskRecord): TaskVerdict {
    this.#forgetEndedBefore(record.at - this.#settings.keepFinishedMs);
    if (record.kind === 'task') {
      return this.#accept(offset, record);
    }
    if (record.kind === 'task-state') {
      return this.#carry(offset, record);
    }
    const task = this.#tasks.get(record.task);
    if (task === undefined) {
      this.#orphans.add(offset, record);
      return err('unknown-task');
    }
    const before = task.lease?.worker;
    const verdict = this.#step(task, record);
    this.#index(task, before);
    return verdict.map(() => task);
  }

  #accept(offset: number, record: TaskRecordOf<'task'>): TaskVerdict {
    const known =
      this.#tasks.get(record.id) ??
      (record.key === undefined ? undefined : this.findByKey(record.scope, record.key));
    if (known !== undefined) {
      return isSameRequest(known, record) ? ok(known) : err('key-mismatch');
    }
    const task = newTask(record);
    this.#install(task, { at: record.at, offset });
    return ok(task);
  }

  // A replica that knows the task learns nothing from its carried state; one that started after the task's
  // own record was trimmed installs it and applies what it read since the writer's offset.
  #carry(offset: number, record: TaskRecordOf<'task-state'>): TaskVerdict {
    const known = this.#tasks.get(record.task);
    if (known !== undefined) {
      this.#markCarried(known.id, { at: record.at, offset });
      return ok(known);
    }
    if (record.asOf < this.#start) {
      return err('stale-state');
    }
    const task = structuredClone(record.state);
    this.#install(task, { at: record.at, offset });
    for (const missed of this.#orphans.take(task.id, record.asOf)) {
      this.apply(missed.offset, missed.record);
    }
    return ok(task);
  }

  #install(task: Task, carried: Carried): void {
    this.#tasks.set(task.id, task);
    if (task.key !== undefined) {
      this.#takeKey(slotOf(task.scope, task.key), task.id);
    }
    this.#markCarried(task.id, carried);
    this.#index(task, undefined);
  }

  // Only a replica that started late finds the key taken: the carried task had it before the other record.
  #takeKey(slot: string, id: string): void {
    const other = this.#keys.get(slot);
    if (other !== undefined && other !== id) {
      this.#forget(other, this.#tasks.get(other));
    }
    this.#keys.set(slot, id);
  }

  // Re-inserting keeps the map ordered by offset for toCarry.
  #markCarried(id: string, carried: Carried): void {
    const marks = this.#ended.has(id) ? this.#carriedEnded : this.#carriedLive;
    marks.delete(id);
    marks.set(id, carried);
  }

  #moveMark(id: string): void {
    const carried = this.#carriedLive.get(id);
    if (carried !== undefined) {
      this.#carriedLive.delete(id);
      this.#carriedEnded.set(id, carried);
    }
  }

  #step(
    task: Task,
    record: Exclude<TaskRecord, TaskRecordOf<'task-state'> | TaskRecordOf<'task'>>,
  ): Result<void, TaskRefusalReason> {
    switch (record.kind) {
      case 'task-cancel':
        return move(task, 'cancel').map(() => {
          endTask(task, record.at);
        });
      case 'task-done':
        return this.#finish(task, record);
      case 'task-failed':
        return this.#fail(task, record);
      case 'task-lease':
        return this.#lease(task, record);
      case 'task-renew':
        return this.#renew(task, record);
    }
  }

  #lease(task: Task, record: TaskRecordOf<'task-lease'>): Result<void, TaskRefusalReason> {
    if (record.attempt !== task.attempt + 1) {
      return err('wrong-attempt');
    }
    return move(task, 'lease').map(() => {
      task.attempt = record.attempt;
      task.lease = {
        demand: record.demand,
        entry: record.entry,
        leasedAt: record.at,
        skewMs: record.skewMs,
        until: record.until,
        worker: record.worker,
      };
    });
  }

  #renew(task: Task, record: TaskRecordOf<'task-renew'>): Result<void, TaskRefusalReason> {
    if (task.lease === undefined || record.attempt !== task.attempt) {
      return err('wrong-attempt');
    }
    task.lease.until = Math.max(task.lease.until, record.until);
    task.lease.entry = record.entry;
    if ((record.progress ?? 0) >= task.progress) {
      task.progress = record.progress ?? task.progress;
      task.checkpoint = record.checkpoint ?? task.checkpoint;
    }
    if (record.usage !== undefined) {
      this.estimates.observe(task, record.usage);
      task.lease.demand = { ...record.usage, accelerators: task.lease.demand.accelerators };
    }
    return ok();
  }

  #finish(task: Task, record: TaskRecordOf<'task-done'>): Result<void, TaskRefusalReason> {
    if (task.lease === undefined || record.attempt !== task.attempt) {
      return err('wrong-attempt');
    }
    this.health.succeed(task.lease.worker);
    return move(task, 'done').map(() => {
      task.answer = { body: record.body, contentType: record.contentType };
      task.progress = 1;
      endTask(task, record.at);
    });
  }

  #fail(task: Task, record: TaskRecordOf<'task-failed'>): Result<void, TaskRefusalReason> {
    const lease = task.lease;
    if (lease === undefined || record.attempt !== task.attempt) {
      return err('wrong-attempt');
    }
    if (record.cause === 'lapsed' && record.at <= lease.until + lease.skewMs) {
      return err('not-lapsed');
    }
    if (record.cause === 'job' || record.cause === 'lapsed' || record.cause === 'not-started') {
      this.health.fail(lease.worker, task, record.at);
    }
    const event = noteTry(task, lease.worker, record);
    if (event === 'exhausted' && task.failedOn.length > 1) {
      this.health.absolve(task.id, task.failedOn);
    }
    return move(task, event).map(() => {
      task.lease = undefined;
      if (event !== 'retry') {
        endTask(task, record.at);
      }
    });
  }

  #index(task: Task, workerBefore: string | undefined): void {
    if (workerBefore !== undefined && workerBefore !== task.lease?.worker) {
      this.#leaveWorker(workerBefore, task.id);
    }
    if (task.lease !== undefined) {
      const there = this.#onWorker.get(task.lease.worker) ?? new Set();
      this.#onWorker.set(task.lease.worker, there.add(task.id));
    }
    if (!hasEnded(task)) {
      this.#live.add(task.id);
      return;
    }
    if (!this.#ended.has(task.id)) {
      this.#live.delete(task.id);
      this.#ended.add(task.id);
      this.#moveMark(task.id);
      this.#boundAnswers(task);
    }
  }

  #leaveWorker(worker: string, id: string): void {
    const there = this.#onWorker.get(worker);
    there?.delete(id);
    if (there?.size === 0) {
      this.#onWorker.delete(worker);
    }
  }

  #boundAnswers(task: Task): void {
    // The body has been run and the checkpoint has no use after the end.
    task.body = '';
    task.checkpoint = undefined;
    if (task.answer === undefined) {
      return;
    }
    this.#answered.add(task.id);
    const [oldest] = this.#answered;
    if (this.#answered.size > this.#settings.maxAnswers && oldest !== undefined) {
      this.#answered.delete(oldest);
      const dropped = this.#tasks.get(oldest);
      if (dropped !== undefined) {
        dropped.answer = undefined;
      }
    }
  }

  #forgetEndedBefore(limit: number): void {
    for (const id of this.#ended) {
      const task = this.#tasks.get(id);
      if (task?.endedAt !== undefined && task.endedAt >= limit) {
        return;
      }
      this.#forget(id, task);
    }
  }

  #forget(id: string, task: Task | undefined): void {
    this.#answered.delete(id);
    this.#carriedEnded.delete(id);
    this.#carriedLive.delete(id);
    this.#ended.delete(id);
    this.#live.delete(id);
    this.#tasks.delete(id);
    this.#leaveWorker(task?.lease?.worker ?? '', id);
    if (task?.key !== undefined) {
      this.#keys.delete(slotOf(task.scope, task.key));
    }
  }
}

function slotOf(scope: string, key: string): string {
  return `${scope}\n${key}`;
}

function isSameRequest(known: Task, record: TaskRecordOf<'task'>): boolean {
  return known.digest === record.digest && known.pool === record.pool && known.job === record.job;
}
