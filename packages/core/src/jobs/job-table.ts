import type { JobRecord } from './job-record';
import type { Job, JobState } from './job-spec';
import { JOB_RECORD } from './job-record';
import { JOB_STATE } from './job-spec';

/** State of a job, as read from the stream of jobs. */
export interface JobEntry {
  cancelled: boolean;
  /** Undefined until the record of the acceptance has been read; other records may be read before it. */
  job: Job | undefined;
  /** Newest state that the leader reported; undefined before the first report. */
  reportedState: 'completed' | 'failed' | 'running' | undefined;
}

/**
 * Table of the jobs, built from the stream of jobs. The result does not depend on the order of the records
 * of a job: the store keeps only the newest record of each key, so a reader that starts late may see them
 * in another order.
 */
export class JobTable {
  readonly #entries = new Map<string, JobEntry>();
  readonly #queuedIdsByQueue = new Map<string, Set<string>>();

  /** Number of jobs in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** Yields the jobs that have not ended, in the order in which they were first read. */
  *activeJobs(): Generator<Job> {
    for (const entry of this.#entries.values()) {
      if (entry.job !== undefined && !isEnded(entry)) {
        yield entry.job;
      }
    }
  }

  /** Yields the ids of the jobs that have ended. */
  *endedIds(): Generator<string> {
    for (const [id, entry] of this.#entries) {
      if (isEnded(entry)) {
        yield id;
      }
    }
  }

  /** Applies a record. Returns the entry of its job; undefined if the record does not concern a kept job. */
  apply(record: JobRecord): JobEntry | undefined {
    if (record.kind === JOB_RECORD.leader) {
      return undefined;
    }
    if (record.kind === JOB_RECORD.forget) {
      this.#removeEntry(record.id);
      return undefined;
    }
    const id = record.kind === JOB_RECORD.submit ? record.job.id : record.id;
    const entry = this.#getOrCreateEntry(id);
    if (record.kind === JOB_RECORD.submit) {
      entry.job ??= record.job;
    } else if (record.kind === JOB_RECORD.cancel) {
      entry.cancelled = true;
    } else if (entry.reportedState !== 'completed' && entry.reportedState !== 'failed') {
      entry.reportedState = record.state;
    }
    this.#updateQueuedIndex(id, entry);
    return entry;
  }

  /** Returns the entry of a job; undefined if no record of the job was read. */
  get(id: string): JobEntry | undefined {
    return this.#entries.get(id);
  }

  /** Returns the state of a job as reported to callers; undefined if no such job was accepted. */
  stateOf(id: string): JobState | undefined {
    const entry = this.#entries.get(id);
    return entry?.job === undefined ? undefined : stateOfEntry(entry);
  }

  /** Returns the number of queued jobs of a queue, without jobs that have a schedule. */
  countQueued(queue: string): number {
    return this.#queuedIdsByQueue.get(queue)?.size ?? 0;
  }

  #removeEntry(id: string): void {
    const entry = this.#entries.get(id);
    if (entry?.job !== undefined) {
      this.#queuedIdsByQueue.get(entry.job.queue)?.delete(id);
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

/** Returns whether a job has ended, so that none of its tasks may start. */
export function isEnded(entry: JobEntry): boolean {
  const state = stateOfEntry(entry);
  return state !== JOB_STATE.queued && state !== JOB_STATE.running;
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
