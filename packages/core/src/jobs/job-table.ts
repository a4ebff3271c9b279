import type { CallerRecord, DeleteRecord, JobRecord, StateRecord, WithdrawRecord } from './job-record';
import type { Job, JobState } from './job-spec';
import { isLeadershipRecord, JOB_KEY_PREFIX, JOB_RECORD } from './job-record';
import { estimateJobBytes, JOB_STATE } from './job-spec';

/** State of a job, as read from the stream of jobs. */
export interface JobEntry {
  /** Whether a caller cancelled the job, before or after its acceptance was read. */
  cancelled: boolean;
  /** Whether a cancellation of the accepted job is stored. */
  isCancelStored: boolean;
  /** Whether a withdrawal concerns the job. */
  isWithdrawn: boolean;
  /**
   * Undefined until the record of the acceptance has been read, since other records may be read before it,
   * and once the job has ended.
   */
  job: Job | undefined;
  /** Newest state that the leader reported; undefined before the first report. */
  reportedState: 'completed' | 'failed' | 'running' | undefined;
  /** Newest withdrawal of the id; undefined if there is none. */
  withdrawal: Pick<WithdrawRecord, 'workspace'> | undefined;
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
  readonly #withdrawnIds = new Set<string>();

  /** Number of jobs in the table. */
  get size(): number {
    return this.#entries.size;
  }

  /** About how much memory the jobs that have not ended take on a node that leads, in bytes. */
  get activeBytes(): number {
    return this.#activeBytes;
  }

  /** Number of ids that were withdrawn and of which no job has been read. */
  get withdrawnCount(): number {
    return this.#withdrawnIds.size;
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
    this.#applyToEntry(record, entry);
    entry.cancelled = entry.isCancelStored || entry.isWithdrawn;
    if (isEnded(entry)) {
      this.#dropJob(id, entry);
    } else {
      this.#updateQueuedIndex(id, entry);
    }
    this.#updateWithdrawnIndex(id, entry);
    return entry;
  }

  #applyToEntry(record: CallerRecord | StateRecord, entry: JobEntry): void {
    switch (record.kind) {
      case JOB_RECORD.cancel:
        entry.isCancelStored = true;
        break;
      case JOB_RECORD.state:
        entry.reportedState = hasReportedEnd(entry) ? entry.reportedState : record.state;
        break;
      case JOB_RECORD.submit:
        this.#addJob(entry, record.job);
        entry.isWithdrawn ||= concerns(entry.withdrawal, record.job);
        break;
      case JOB_RECORD.withdraw:
        entry.withdrawal = { workspace: record.workspace };
        entry.isWithdrawn ||= concerns(entry.withdrawal, entry.job);
        break;
    }
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

  /** Whether an id of which no job is known was withdrawn, by any workspace. */
  isUnknownWithdrawn(id: string): boolean {
    return this.#withdrawnIds.has(id);
  }

  /** Whether a job that a workspace submits now under an id would never run. */
  isWithdrawnFor(id: string, workspace: string | undefined): boolean {
    return this.#withdrawnIds.has(id) && concerns(this.#entries.get(id)?.withdrawal, { workspace });
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
      entry.isCancelStored = false;
    } else if (prefix === JOB_KEY_PREFIX.submitted) {
      this.#dropJob(id, entry);
    } else if (prefix === JOB_KEY_PREFIX.withdrawn) {
      entry.withdrawal = undefined;
      entry.isWithdrawn = false;
    } else if (hasReportedEnd(entry) === (prefix === JOB_KEY_PREFIX.ended)) {
      entry.reportedState = undefined;
    }
    entry.cancelled = entry.isCancelStored || entry.isWithdrawn;
    const isKept = entry.job !== undefined || entry.withdrawal !== undefined || entry.cancelled;
    if (!isKept && entry.reportedState === undefined) {
      this.#entries.delete(id);
    }
    this.#updateWithdrawnIndex(id, entry);
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
    this.#withdrawnIds.delete(id);
  }

  #getOrCreateEntry(id: string): JobEntry {
    const known = this.#entries.get(id);
    if (known !== undefined) {
      return known;
    }
    const entry: JobEntry = {
      cancelled: false,
      isCancelStored: false,
      isWithdrawn: false,
      job: undefined,
      reportedState: undefined,
      withdrawal: undefined,
    };
    this.#entries.set(id, entry);
    return entry;
  }

  #updateWithdrawnIndex(id: string, entry: JobEntry): void {
    if (entry.withdrawal !== undefined && entry.job === undefined && !isEnded(entry)) {
      this.#withdrawnIds.add(id);
    } else {
      this.#withdrawnIds.delete(id);
    }
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

function concerns(withdrawal: JobEntry['withdrawal'], job: Pick<Job, 'workspace'> | undefined): boolean {
  return withdrawal !== undefined && job !== undefined && withdrawal.workspace === job.workspace;
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
