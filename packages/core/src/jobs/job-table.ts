import type { DeleteRecord, JobRecord } from './job-record';
import type { Job, JobState } from './job-spec';
import { isLeadershipRecord, JOB_KEY_PREFIX, JOB_RECORD } from './job-record';
import { estimateJobBytes, JOB_STATE } from './job-spec';

/** State of a job, as read from the stream of jobs. */
export interface JobEntry {
  cancelled: boolean;
  /**
   * Undefined until the record of the acceptance has been read, since other records may be read before it,
   * and once the job has ended.
   */
  job: Job | undefined;
  /** Newest state that the leader reported; undefined before the first report. */
  reportedState: 'completed' | 'failed' | 'running' | undefined;
}

/**
 * Table of the jobs, built from the stream of jobs. The result does not depend on the order of the records
 * of a job: the store keeps only the newest record of each key, so a reader that starts late may see them
 * in another order. The specification of a job is kept until the job has ended; its end or cancellation alone
 * then says that it was accepted.
 */
export class JobTable {
  #activeBytes = 0;
  readonly #entries = new Map<string, JobEntry>();
  readonly #queuedIdsByQueue = new Map<string, Set<string>>();

  /** Number of jobs in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** About how much memory the jobs that have not ended take on a node that leads, in bytes. */
  get activeBytes(): number {
    return this.#activeBytes;
  }

  /** Yields the jobs that have not ended, in the order in which they were first read. */
  *activeJobs(): Generator<Job> {
    for (const entry of this.#entries.values()) {
      if (entry.job !== undefined) {
        yield entry.job;
      }
    }
  }

  /** Yields the ids of the jobs that have ended, and of those of which only the state `running` is left. */
  *endedIds(): Generator<string> {
    for (const [id, entry] of this.#entries) {
      if (entry.job === undefined) {
        yield id;
      }
    }
  }

  /** Applies a record. Returns the entry of its job; undefined if the record does not concern a kept job. */
  apply(record: JobRecord): JobEntry | undefined {
    if (isLeadershipRecord(record)) {
      return undefined;
    }
    if (record.kind === JOB_RECORD.forget) {
      this.#removeEntry(record.id);
      return undefined;
    }
    if (record.kind === JOB_RECORD.delete) {
      this.#deleteRecord(record);
      return undefined;
    }
    const id = record.kind === JOB_RECORD.submit ? record.job.id : record.id;
    const entry = this.#getOrCreateEntry(id);
    if (record.kind === JOB_RECORD.submit) {
      this.#addJob(entry, record.job);
    } else if (record.kind === JOB_RECORD.cancel) {
      entry.cancelled = true;
    } else if (!hasReportedEnd(entry)) {
      entry.reportedState = record.state;
    }
    if (isEnded(entry)) {
      this.#dropJob(id, entry);
    } else {
      this.#updateQueuedIndex(id, entry);
    }
    return entry;
  }

  /** Returns the entry of a job; undefined if no record of the job was read. */
  get(id: string): JobEntry | undefined {
    return this.#entries.get(id);
  }

  /** Returns the state of a job as reported to callers; undefined if no such job was accepted. */
  stateOf(id: string): JobState | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined || (entry.job === undefined && !isEnded(entry))
      ? undefined
      : stateOfEntry(entry);
  }

  /** Returns the number of queued jobs of a queue, without jobs that have a schedule. */
  countQueued(queue: string): number {
    return this.#queuedIdsByQueue.get(queue)?.size ?? 0;
  }

  // The keys of a job are deleted one by one: a reader that reloads the stream may have known only some.
  #deleteRecord({ id, prefix }: DeleteRecord): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    if (prefix === JOB_KEY_PREFIX.cancelled) {
      entry.cancelled = false;
    } else if (prefix === JOB_KEY_PREFIX.submitted) {
      this.#dropJob(id, entry);
    } else if (hasReportedEnd(entry) === (prefix === JOB_KEY_PREFIX.ended)) {
      entry.reportedState = undefined;
    }
    if (entry.job === undefined && !entry.cancelled && entry.reportedState === undefined) {
      this.#entries.delete(id);
    }
  }

  #addJob(entry: JobEntry, job: Job): void {
    if (entry.job === undefined) {
      entry.job = job;
      this.#activeBytes += estimateJobBytes(job.spec);
    }
  }

  #dropJob(id: string, entry: JobEntry): void {
    if (entry.job !== undefined) {
      this.#activeBytes -= estimateJobBytes(entry.job.spec);
      this.#queuedIdsByQueue.get(entry.job.queue)?.delete(id);
      entry.job = undefined;
    }
  }

  #removeEntry(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#dropJob(id, entry);
    }
    this.#entries.delete(id);
  }

  #getOrCreateEntry(id: string): JobEntry {
    const known = this.#entries.get(id);
    if (known !== undefined) {
      return known;
    }
    const entry: JobEntry = { cancelled: false, job: undefined, reportedState: undefined };
    this.#entries.set(id, entry);
    return entry;
  }

  #updateQueuedIndex(id: string, entry: JobEntry): void {
    if (entry.job === undefined || entry.job.spec.schedule !== undefined) {
      return;
    }
    const queued = this.#queuedIdsByQueue.get(entry.job.queue) ?? new Set<string>();
    this.#queuedIdsByQueue.set(entry.job.queue, queued);
    if (stateOfEntry(entry) === JOB_STATE.queued) {
      queued.add(id);
    } else {
      queued.delete(id);
    }
  }
}

// None of the tasks of an ended job may start.
function isEnded(entry: JobEntry): boolean {
  const state = stateOfEntry(entry);
  return state !== JOB_STATE.queued && state !== JOB_STATE.running;
}

function hasReportedEnd(entry: JobEntry): boolean {
  return entry.reportedState === 'completed' || entry.reportedState === 'failed';
}

// A reported end takes precedence over a cancellation.
function stateOfEntry(entry: JobEntry): JobState {
  if (entry.reportedState === 'completed' || entry.reportedState === 'failed') {
    return entry.reportedState;
  }
  if (entry.cancelled) {
    return JOB_STATE.cancelled;
  }
  return entry.reportedState ?? JOB_STATE.queued;
}
