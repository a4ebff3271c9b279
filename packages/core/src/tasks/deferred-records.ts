import type { TaskRecord } from '../records/task-record';

/** Record that was read before its task was known. */
interface DeferredRecord {
  offset: number;
  record: TaskRecord;
}

/** Maximum number of deferred records, so that those about forgotten tasks don't accumulate. */
const MAX_DEFERRED_RECORDS = 20_000;

/**
 * Records about tasks that a new replica doesn't know yet, because their first record has been trimmed. They are
 * applied after the snapshot of the task has been read.
 */
export class DeferredRecords {
  readonly #byTask = new Map<string, DeferredRecord[]>();
  #count = 0;

  /** Adds a record. When there are too many, the records of the task that was seen first are dropped. */
  add(offset: number, record: Exclude<TaskRecord, { kind: 'task' }>): void {
    const deferred = this.#byTask.get(record.task) ?? [];
    deferred.push({ offset, record });
    this.#byTask.set(record.task, deferred);
    this.#count += 1;
    const [oldest] = this.#byTask;
    if (this.#count > MAX_DEFERRED_RECORDS && oldest !== undefined) {
      this.#byTask.delete(oldest[0]);
      this.#count -= oldest[1].length;
    }
  }

  /** Removes the records of a task and returns those at or above offset `from`. */
  removeFor(task: string, from: number): DeferredRecord[] {
    const deferred = this.#byTask.get(task) ?? [];
    this.#byTask.delete(task);
    this.#count -= deferred.length;
    return deferred.filter((entry) => entry.offset >= from);
  }

  /** Removes all records. */
  clear(): void {
    this.#byTask.clear();
    this.#count = 0;
  }
}
