import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { TaskRecord, TaskRecordOf } from '../records/task-record';
import type { Task } from './task';
import { DeferredRecords } from './deferred-records';
import { DemandEstimates } from './demand-estimates';
import { hasEnded } from './task';
import { applyTaskEvent, endTask, newTask, recordEndedAttempt } from './task-transitions';
import { WorkerHealth } from './worker-health';

/** Reason why a record about a task is rejected. */
export const TASK_REFUSAL = {
  keyMismatch: 'key-mismatch',
  notLapsed: 'not-lapsed',
  staleState: 'stale-state',
  unknownTask: 'unknown-task',
  wrongAttempt: 'wrong-attempt',
  wrongState: 'wrong-state',
} as const;
/** Reason why a record about a task is rejected. */
export type TaskRefusalReason = (typeof TASK_REFUSAL)[keyof typeof TASK_REFUSAL];

/** Result of applying a record about a task: the task afterwards, or why the record was rejected. */
export type TaskApplyResult = Result<Task, TaskRefusalReason>;

/** Settings of the task table. */
export interface TaskTableSettings {
  /** Time for which a finished task and its key are kept, in ms. */
  keepFinishedMs: number;
  /** Maximum number of finished tasks whose answers are kept; the oldest answers are dropped first. */
  maxAnswers: number;
}

/** Time (ms since the epoch) and log offset of the newest record that contains the complete state of a task. */
interface SnapshotPosition {
  at: number;
  offset: number;
}

/** Default of `maxAnswers`. */
const DEFAULT_MAX_ANSWERS = 10_000;

/**
 * Tasks, built by applying the records of the `work` stream in log order.
 * Results, renewals and failures are accepted only for the current attempt, so records of a fenced lease holder
 * have no effect. Deterministic: replicas that read the same records have the same tasks.
 */
export class TaskTable {
  readonly #answeredIds = new Set<string>();
  /** Positions of the newest snapshots of ended tasks, oldest first. */
  readonly #endedSnapshots = new Map<string, SnapshotPosition>();
  /** Positions of the newest snapshots of live tasks, oldest first. */
  readonly #liveSnapshots = new Map<string, SnapshotPosition>();
  readonly #endedIds = new Set<string>();
  readonly estimates = new DemandEstimates();
  readonly health = new WorkerHealth();
  readonly #idsByKey = new Map<string, string>();
  readonly #liveIds = new Set<string>();
  readonly #idsByWorker = new Map<string, Set<string>>();
  readonly #deferred = new DeferredRecords();
  readonly #settings: TaskTableSettings;
  #startOffset = 0;
  readonly #tasks = new Map<string, Task>();

  constructor(settings: Partial<TaskTableSettings> & { keepFinishedMs: number }) {
    this.#settings = { maxAnswers: DEFAULT_MAX_ANSWERS, ...settings };
  }

  /** Number of tasks in the table, including finished ones. */
  get size(): number {
    return this.#tasks.size;
  }

  /** Returns the task with an id; undefined when it doesn't exist or has been removed. */
  find(id: string): Task | undefined {
    return this.#tasks.get(id);
  }

  /** Returns the task with an idempotency key of a team, or undefined. */
  findByKey(scope: string, key: string): Task | undefined {
    return this.#tasks.get(this.#idsByKey.get(scopedKeyOf(scope, key)) ?? '');
  }

  /** Returns the tasks that have not ended, in order of acceptance. */
  liveTasks(): Task[] {
    return [...this.#liveIds].flatMap((id) => this.#tasks.get(id) ?? []);
  }

  /** Returns the tasks with a lease on a worker. */
  tasksOnWorker(worker: string): Task[] {
    return [...(this.#idsByWorker.get(worker) ?? [])].flatMap((id) => this.#tasks.get(id) ?? []);
  }

  /**
   * Returns live or ended tasks that need a new snapshot: the newest record with their complete state is below
   * offset `beforeOffset` or older than `beforeAt`, in ms since the epoch. Returns up to `limit` tasks, oldest
   * snapshot first.
   */
  dueForSnapshot(which: 'ended' | 'live', beforeOffset: number, beforeAt: number, limit: number): Task[] {
    const due: Task[] = [];
    for (const [id, snapshot] of which === 'live' ? this.#liveSnapshots : this.#endedSnapshots) {
      const task = this.#tasks.get(id);
      if (due.length >= limit || (snapshot.offset >= beforeOffset && snapshot.at >= beforeAt)) {
        break;
      }
      if (task !== undefined) {
        due.push(task);
      }
    }
    return due;
  }

  /** Returns the position of the newest record that contains the complete state of a task. */
  snapshotPosition(id: string): SnapshotPosition | undefined {
    return this.#liveSnapshots.get(id) ?? this.#endedSnapshots.get(id);
  }

  /** Clears the table and starts again at `offset`, because earlier records were trimmed before they were read. */
  resetTo(offset: number): void {
    for (const ids of [this.#answeredIds, this.#endedIds, this.#liveIds]) {
      ids.clear();
    }
    for (const index of [
      this.#endedSnapshots,
      this.#liveSnapshots,
      this.#idsByKey,
      this.#idsByWorker,
      this.#tasks,
    ]) {
      index.clear();
    }
    this.#deferred.clear();
    this.#startOffset = offset;
  }

  /** Applies the record at an offset; fails when the record is rejected. */
  apply(offset: number, record: TaskRecord): TaskApplyResult {
    this.#removeEndedBefore(record.at - this.#settings.keepFinishedMs);
    if (record.kind === 'task') {
      return this.#applyTask(offset, record);
    }
    if (record.kind === 'task-state') {
      return this.#applySnapshot(offset, record);
    }
    const task = this.#tasks.get(record.task);
    if (task === undefined) {
      this.#deferred.add(offset, record);
      return err('unknown-task');
    }
    const workerBefore = task.lease?.worker;
    const result = this.#applyToTask(task, record);
    this.#updateIndexes(task, workerBefore);
    return result.map(() => task);
  }

  #applyTask(offset: number, record: TaskRecordOf<'task'>): TaskApplyResult {
    const existing =
      this.#tasks.get(record.id) ??
      (record.key === undefined ? undefined : this.findByKey(record.scope, record.key));
    if (existing !== undefined) {
      return isSameRequest(existing, record) ? ok(existing) : err('key-mismatch');
    }
    const task = newTask(record);
    this.#addTask(task, { at: record.at, offset });
    return ok(task);
  }

  // A replica that has the task ignores the state in the snapshot. A replica that started after the task's first
  // record was trimmed adds the task from the snapshot and applies the records since the writer's offset.
  #applySnapshot(offset: number, record: TaskRecordOf<'task-state'>): TaskApplyResult {
    const existing = this.#tasks.get(record.task);
    if (existing !== undefined) {
      this.#storeSnapshotPosition(existing.id, { at: record.at, offset });
      return ok(existing);
    }
    if (record.asOf < this.#startOffset) {
      return err('stale-state');
    }
    const task = structuredClone(record.state);
    this.#addTask(task, { at: record.at, offset });
    for (const missed of this.#deferred.removeFor(task.id, record.asOf)) {
      this.apply(missed.offset, missed.record);
    }
    return ok(task);
  }

  #addTask(task: Task, snapshot: SnapshotPosition): void {
    this.#tasks.set(task.id, task);
    if (task.key !== undefined) {
      this.#assignKey(scopedKeyOf(task.scope, task.key), task.id);
    }
    this.#storeSnapshotPosition(task.id, snapshot);
    this.#updateIndexes(task, undefined);
  }

  // Only a replica that started late can find the key in use. The task of the snapshot had the key first, so the
  // other task is removed.
  #assignKey(scopedKey: string, id: string): void {
    const other = this.#idsByKey.get(scopedKey);
    if (other !== undefined && other !== id) {
      this.#remove(other, this.#tasks.get(other));
    }
    this.#idsByKey.set(scopedKey, id);
  }

  // Re-inserting keeps the map ordered by offset, which dueForSnapshot relies on.
  #storeSnapshotPosition(id: string, snapshot: SnapshotPosition): void {
    const snapshots = this.#endedIds.has(id) ? this.#endedSnapshots : this.#liveSnapshots;
    snapshots.delete(id);
    snapshots.set(id, snapshot);
  }

  #moveSnapshotToEnded(id: string): void {
    const snapshot = this.#liveSnapshots.get(id);
    if (snapshot !== undefined) {
      this.#liveSnapshots.delete(id);
      this.#endedSnapshots.set(id, snapshot);
    }
  }

  #applyToTask(
    task: Task,
    record: Exclude<TaskRecord, TaskRecordOf<'task-state'> | TaskRecordOf<'task'>>,
  ): Result<void, TaskRefusalReason> {
    switch (record.kind) {
      case 'task-cancel':
        return applyTaskEvent(task, 'cancel').map(() => {
          endTask(task, record.at);
        });
      case 'task-done':
        return this.#applyDone(task, record);
      case 'task-failed':
        return this.#applyFailed(task, record);
      case 'task-lease':
        return this.#applyLease(task, record);
      case 'task-renew':
        return this.#applyRenew(task, record);
    }
  }

  #applyLease(task: Task, record: TaskRecordOf<'task-lease'>): Result<void, TaskRefusalReason> {
    if (record.attempt !== task.attempt + 1) {
      return err('wrong-attempt');
    }
    return applyTaskEvent(task, 'lease').map(() => {
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

  #applyRenew(task: Task, record: TaskRecordOf<'task-renew'>): Result<void, TaskRefusalReason> {
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

  #applyDone(task: Task, record: TaskRecordOf<'task-done'>): Result<void, TaskRefusalReason> {
    if (task.lease === undefined || record.attempt !== task.attempt) {
      return err('wrong-attempt');
    }
    this.health.recordSuccess(task.lease.worker);
    return applyTaskEvent(task, 'done').map(() => {
      task.answer = { body: record.body, contentType: record.contentType };
      task.progress = 1;
      endTask(task, record.at);
    });
  }

  #applyFailed(task: Task, record: TaskRecordOf<'task-failed'>): Result<void, TaskRefusalReason> {
    const lease = task.lease;
    if (lease === undefined || record.attempt !== task.attempt) {
      return err('wrong-attempt');
    }
    if (record.cause === 'lapsed' && record.at <= lease.until + lease.skewMs) {
      return err('not-lapsed');
    }
    if (record.cause === 'job' || record.cause === 'lapsed' || record.cause === 'not-started') {
      this.health.recordFailure(lease.worker, task, record.at);
    }
    const event = recordEndedAttempt(task, lease.worker, record);
    if (event === 'exhausted' && task.failedOn.length > 1) {
      this.health.discardFailures(task.id, task.failedOn);
    }
    return applyTaskEvent(task, event).map(() => {
      task.lease = undefined;
      if (event !== 'retry') {
        endTask(task, record.at);
      }
    });
  }

  #updateIndexes(task: Task, workerBefore: string | undefined): void {
    if (workerBefore !== undefined && workerBefore !== task.lease?.worker) {
      this.#removeFromWorker(workerBefore, task.id);
    }
    if (task.lease !== undefined) {
      const taskIds = this.#idsByWorker.get(task.lease.worker) ?? new Set();
      this.#idsByWorker.set(task.lease.worker, taskIds.add(task.id));
    }
    if (!hasEnded(task)) {
      this.#liveIds.add(task.id);
      return;
    }
    if (!this.#endedIds.has(task.id)) {
      this.#liveIds.delete(task.id);
      this.#endedIds.add(task.id);
      this.#moveSnapshotToEnded(task.id);
      this.#trimStoredBodies(task);
    }
  }

  #removeFromWorker(worker: string, id: string): void {
    const taskIds = this.#idsByWorker.get(worker);
    taskIds?.delete(id);
    if (taskIds?.size === 0) {
      this.#idsByWorker.delete(worker);
    }
  }

  #trimStoredBodies(task: Task): void {
    // The body and the checkpoint are not needed after the end of a task.
    task.body = '';
    task.checkpoint = undefined;
    if (task.answer === undefined) {
      return;
    }
    this.#answeredIds.add(task.id);
    const [oldest] = this.#answeredIds;
    if (this.#answeredIds.size > this.#settings.maxAnswers && oldest !== undefined) {
      this.#answeredIds.delete(oldest);
      const dropped = this.#tasks.get(oldest);
      if (dropped !== undefined) {
        dropped.answer = undefined;
      }
    }
  }

  #removeEndedBefore(limit: number): void {
    for (const id of this.#endedIds) {
      const task = this.#tasks.get(id);
      if (task?.endedAt !== undefined && task.endedAt >= limit) {
        return;
      }
      this.#remove(id, task);
    }
  }

  #remove(id: string, task: Task | undefined): void {
    this.#answeredIds.delete(id);
    this.#endedSnapshots.delete(id);
    this.#liveSnapshots.delete(id);
    this.#endedIds.delete(id);
    this.#liveIds.delete(id);
    this.#tasks.delete(id);
    this.#removeFromWorker(task?.lease?.worker ?? '', id);
    if (task?.key !== undefined) {
      this.#idsByKey.delete(scopedKeyOf(task.scope, task.key));
    }
  }
}

function scopedKeyOf(scope: string, key: string): string {
  return `${scope}\n${key}`;
}

function isSameRequest(existing: Task, record: TaskRecordOf<'task'>): boolean {
  return existing.digest === record.digest && existing.pool === record.pool && existing.job === record.job;
}
