import type { JobRecord } from './job-record';
import type { Job, JobState } from './job-spec';
import { JOB_RECORD } from './job-record';
import { JOB_STATE } from './job-spec';

/** What a node knows about a job. */
export interface JobEntry {
  cancelled: boolean;
  /** Undefined while only later records about the job have been read. */
  job: Job | undefined;
  /** Newest state that the leader told. */
  told: 'completed' | 'failed' | 'running' | undefined;
}

/**
 * Jobs as told by the stream of jobs. The order of the records about one job does not matter: the store
 * keeps the newest record of each key, so a reader that starts late sees them in another order.
 */
export class JobTable {
  readonly #entries = new Map<string, JobEntry>();
  readonly #queuedByQueue = new Map<string, Set<string>>();

  /** Number of jobs known. */
  get size(): number {
    return this.#entries.size;
  }

  /** All jobs that have not ended, in the order in which they were first read. */
  *active(): Generator<Job> {
    for (const entry of this.#entries.values()) {
      if (entry.job !== undefined && !isEnded(entry)) {
        yield entry.job;
      }
    }
  }

  /** Ids of the jobs that have ended. */
  *ended(): Generator<string> {
    for (const [id, entry] of this.#entries) {
      if (isEnded(entry)) {
        yield id;
      }
    }
  }

  /** Applies a record and gives the job that it changed, if any. */
  apply(record: JobRecord): JobEntry | undefined {
    if (record.kind === JOB_RECORD.leader) {
      return undefined;
    }
    if (record.kind === JOB_RECORD.forget) {
      this.#drop(record.id);
      return undefined;
    }
    const id = record.kind === JOB_RECORD.submit ? record.job.id : record.id;
    const entry = this.#entryOf(id);
    if (record.kind === JOB_RECORD.submit) {
      entry.job ??= record.job;
    } else if (record.kind === JOB_RECORD.cancel) {
      entry.cancelled = true;
    } else if (entry.told !== 'completed' && entry.told !== 'failed') {
      entry.told = record.state;
    }
    this.#index(id, entry);
    return entry;
  }

  /** What is known about a job; undefined when nothing is. */
  get(id: string): JobEntry | undefined {
    return this.#entries.get(id);
  }

  /** State of a job as callers see it; undefined when no such job was accepted. */
  stateOf(id: string): JobState | undefined {
    const entry = this.#entries.get(id);
    return entry?.job === undefined ? undefined : stateOfEntry(entry);
  }

  /** Number of accepted jobs of a queue of which no task has started, without jobs that have a schedule. */
  waiting(queue: string): number {
    return this.#queuedByQueue.get(queue)?.size ?? 0;
  }

  #drop(id: string): void {
    const entry = this.#entries.get(id);
    if (entry?.job !== undefined) {
      this.#queuedByQueue.get(entry.job.queue)?.delete(id);
    }
    this.#entries.delete(id);
  }

  #entryOf(id: string): JobEntry {
    const known = this.#entries.get(id);
    if (known !== undefined) {
      return known;
    }
    const entry: JobEntry = { cancelled: false, job: undefined, told: undefined };
    this.#entries.set(id, entry);
    return entry;
  }

  #index(id: string, entry: JobEntry): void {
    if (entry.job === undefined || entry.job.spec.schedule !== undefined) {
      return;
    }
    const queued = this.#queuedByQueue.get(entry.job.queue) ?? new Set<string>();
    this.#queuedByQueue.set(entry.job.queue, queued);
    if (stateOfEntry(entry) === JOB_STATE.queued) {
      queued.add(id);
    } else {
      queued.delete(id);
    }
  }
}

/** Whether no task of the job may start any more. */
export function isEnded(entry: JobEntry): boolean {
  const state = stateOfEntry(entry);
  return state !== JOB_STATE.queued && state !== JOB_STATE.running;
}

// A job that ended before its cancelling was read stays as it ended.
function stateOfEntry(entry: JobEntry): JobState {
  if (entry.told === 'completed' || entry.told === 'failed') {
    return entry.told;
  }
  if (entry.cancelled) {
    return JOB_STATE.cancelled;
  }
  return entry.told ?? JOB_STATE.queued;
}
