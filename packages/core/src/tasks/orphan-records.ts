import type { TaskRecord } from '../records/task-record';

/** A record read before the task it is about is known. */
interface Orphan {
  offset: number;
  record: TaskRecord;
}

/** Orphans kept; those of forgotten tasks must not accumulate. */
const MAX_ORPHANS = 20_000;

/**
 * Records about tasks that a new replica doesn't know yet, because their first record is trimmed. They are
 * applied when the task's carried state arrives.
 */
export class OrphanRecords {
  readonly #byTask = new Map<string, Orphan[]>();
  #count = 0;

  /** Keeps a record; those of the task that was first seen longest ago are dropped when there are too many. */
  add(offset: number, record: Exclude<TaskRecord, { kind: 'task' }>): void {
    const known = this.#byTask.get(record.task) ?? [];
    known.push({ offset, record });
    this.#byTask.set(record.task, known);
    this.#count += 1;
    const [oldest] = this.#byTask;
    if (this.#count > MAX_ORPHANS && oldest !== undefined) {
      this.#byTask.delete(oldest[0]);
      this.#count -= oldest[1].length;
    }
  }

  /** Removes the records of a task and gives those at or above an offset. */
  take(task: string, from: number): Orphan[] {
    const known = this.#byTask.get(task) ?? [];
    this.#byTask.delete(task);
    this.#count -= known.length;
    return known.filter((orphan) => orphan.offset >= from);
  }

  /** Drops every record. */
  clear(): void {
    this.#byTask.clear();
    this.#count = 0;
  }
}
