import type { TaskRecord } from './run-record';
import { formatTaskName, parseTaskName } from './task-name';

/** Tasks of a step that are done. */
export interface DoneTasks {
  indexes: number[];
  /** Index of the occurrence of a job with a schedule; 0 for other jobs. */
  occurrence: number;
  /** Index of the step in its job. */
  step: number;
}

/** State of the tasks of a job, as earlier terms have stored it. */
export interface StoredJobTasks {
  /** Tasks that are done, by step. */
  done: readonly DoneTasks[];
  /** Records of the other tasks. */
  records: readonly TaskRecord[];
}

interface JobTasks {
  done: Map<string, DoneTasks>;
  records: TaskRecord[];
}

/** Stored state of the tasks of all jobs. Of a task that is done only its index is kept, since there may be many. */
export class StoredTasks {
  readonly #byJob = new Map<string, JobTasks>();
  #size = 0;

  /** Number of tasks that were added. */
  get size(): number {
    return this.#size;
  }

  /** Adds the record of a task. One whose task name cannot be parsed forms a job of its own. */
  add(record: TaskRecord): void {
    this.#size += 1;
    const name = parseTaskName(record.task);
    const job = this.#getOrCreate(name?.jobId ?? record.task);
    if (name === undefined || record.state !== 'done') {
      job.records.push(record);
      return;
    }
    const { index, occurrence, step } = name;
    const key = `${occurrence}.${step}`;
    const done = job.done.get(key) ?? { indexes: [], occurrence, step };
    done.indexes.push(index);
    job.done.set(key, done);
  }

  /** Returns the tasks of a job and removes them. */
  take(jobId: string): StoredJobTasks {
    const job = this.#byJob.get(jobId);
    this.#byJob.delete(jobId);
    return { done: [...(job?.done.values() ?? [])], records: job?.records ?? [] };
  }

  /** Yields the names of the tasks that have not been taken. */
  *names(): Generator<string> {
    for (const [jobId, { done, records }] of this.#byJob) {
      yield* records.map(({ task }) => task);
      for (const { indexes, occurrence, step } of done.values()) {
        yield* indexes.map((index) => formatTaskName({ index, jobId, occurrence, step }));
      }
    }
  }

  #getOrCreate(jobId: string): JobTasks {
    const known = this.#byJob.get(jobId);
    if (known !== undefined) {
      return known;
    }
    const job: JobTasks = { done: new Map(), records: [] };
    this.#byJob.set(jobId, job);
    return job;
  }
}
