import type { JobRecord, KeyedRecord } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { encodeJobRecord, JOB_RECORD } from '@sequoiaquay/core/jobs';
import type { AppendLimits } from './append-limits';
import type { KeyedStream } from './ports/keyed-stream';
import { AdaptiveTimeout } from './adaptive-timeout';
import { MAX_APPEND_BYTES, NO_APPEND_LIMITS, sendAllowanceMs } from './append-limits';
import { STORE_FAILURE } from './ports/keyed-stream';
import { storedBytes } from './record-bytes';

/** Possible outcomes of writing a record. */
export const WRITE_OUTCOME = {
  /** Certainly not stored. */
  refused: 'refused',
  /** Certainly not stored, since the store does not take such a record. */
  rejected: 'rejected',
  stored: 'stored',
  /** Possibly stored: an append without an answer may have been carried out, or may still be. */
  unknown: 'unknown',
} as const;

/** Outcome of writing a record. */
export type WriteOutcome = (typeof WRITE_OUTCOME)[keyof typeof WRITE_OUTCOME];

interface PendingWrite {
  /** Size of the keys and values to store, in bytes. */
  bytes: number;
  /** Monotonic time after which the writer stops trying, in ms. */
  deadline: number;
  /** Number of failed appends of the record. */
  failures: number;
  /** Whether the record is appended by itself, since the store rejected it together with others. */
  isAlone: boolean;
  /** Whether the record is retried until its deadline, even if the store refuses it. */
  isPersistent: boolean;
  /** Whether an append of the record had no answer. */
  isPossiblyStored: boolean;
  record: JobRecord;
  settle: (outcome: WriteOutcome) => void;
  /** The record as it is stored. */
  stored: readonly KeyedRecord[];
}

/** Longest time for which a caller waits for a write, in ms: it can retry on a node that reaches the store. */
const MAX_WRITE_WAIT_MS = 1000;

/** Number of refused appends after which a write for a caller fails. */
const MAX_REFUSALS = 2;

/** Interval between test writes while the store fails, in ms. */
const PROBE_INTERVAL_MS = 250;

/** Delay before a failed append is retried, in ms. */
const RETRY_DELAY_MS = 60;

/** Most writes in one append. */
const MAX_BATCH_SIZE = 200;

/**
 * Writes job records in batches, with one append in flight at a time. Failed appends are repeated, which is
 * safe because applying a job record twice has no effect.
 */
export class JobWriter {
  #isWriting = false;
  readonly #appendTimeout = new AdaptiveTimeout();
  #isHealthy = true;
  readonly #queue: PendingWrite[] = [];
  #lastAppendAt = -Infinity;

  constructor(
    private readonly stream: KeyedStream,
    private readonly onStored: (record: JobRecord) => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
    private readonly limits: AppendLimits = NO_APPEND_LIMITS,
  ) {}

  /**
   * Returns whether a write is likely to succeed. After a failure, only one write per probe interval is
   * let through, and only if the store can be read.
   */
  isLikelyToSucceed(canRead: boolean): boolean {
    return this.#isHealthy || (canRead && this.timers.mono() - this.#lastAppendAt > PROBE_INTERVAL_MS);
  }

  /**
   * Writes a record for a caller, and retries until a monotonic time in ms, but not longer than a caller
   * waits. Returns `refused` soon if the record is certainly not stored, `rejected` if the store takes no such record,
   * and `unknown` only at the deadline.
   */
  write(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#enqueue(record, Math.min(deadline, this.timers.mono() + MAX_WRITE_WAIT_MS), false);
  }

  /** Writes a record, and retries through outages until a monotonic time in ms. */
  writePersistently(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#enqueue(record, deadline, true);
  }

  #enqueue(record: JobRecord, deadline: number, isPersistent: boolean): Promise<WriteOutcome> {
    const stored = encodeJobRecord(record);
    if (this.#exceedsLimits(stored)) {
      return Promise.resolve(WRITE_OUTCOME.rejected);
    }
    return new Promise((resolve) => {
      this.#queue.push({
        bytes: storedBytes(stored),
        deadline,
        failures: 0,
        isAlone: false,
        isPersistent,
        isPossiblyStored: false,
        record,
        settle: resolve,
        stored,
      });
      if (!this.#isWriting) {
        this.#isWriting = true;
        void this.#drainQueue();
      }
    });
  }

  #exceedsLimits(stored: readonly KeyedRecord[]): boolean {
    const { callBytes, recordBytes } = this.limits;
    return storedBytes(stored) > callBytes || stored.some((record) => storedBytes([record]) > recordBytes);
  }

  async #drainQueue(): Promise<void> {
    while (this.#queue.length > 0 && !this.signal.aborted) {
      const batch = this.#dequeueBatch();
      const unstored = await this.#append(batch);
      if (unstored.length > 0) {
        this.#queue.unshift(...unstored);
        await this.timers.sleep(RETRY_DELAY_MS, this.signal);
        this.#settleExpired();
      }
    }
    this.#isWriting = false;
  }

  #dequeueBatch(): PendingWrite[] {
    this.#queue.sort((a, b) => Number(isHeartbeat(b.record)) - Number(isHeartbeat(a.record)));
    if (this.#queue[0]?.isAlone === true) {
      return this.#queue.splice(0, 1);
    }
    const maxBytes = Math.min(MAX_APPEND_BYTES, this.limits.callBytes);
    let bytes = 0;
    const fitting = this.#queue.findIndex((item) => item.isAlone || (bytes += item.bytes) > maxBytes);
    const size = fitting === -1 ? MAX_BATCH_SIZE : Math.max(1, fitting);
    return this.#queue.splice(0, Math.min(size, MAX_BATCH_SIZE));
  }

  // Returns the writes to retry.
  async #append(batch: PendingWrite[]): Promise<PendingWrite[]> {
    const startedAt = this.timers.mono();
    this.#lastAppendAt = startedAt;
    const records = batch.flatMap((item) => item.stored);
    const appended = await this.stream.append({
      timeoutMs: this.#appendTimeout.currentMs + sendAllowanceMs(records),
      records,
      signal: this.signal,
    });
    if (appended.isOk()) {
      this.#appendTimeout.recordResponse(this.timers.mono() - startedAt);
      this.#updateHealth(true, '');
      for (const item of batch) {
        this.onStored(item.record);
        item.settle(WRITE_OUTCOME.stored);
      }
      return [];
    }
    if (appended.error.kind === STORE_FAILURE.rejected) {
      return this.#onRejected(batch, appended.error.message);
    }
    this.#updateHealth(false, appended.error.message);
    for (const item of batch) {
      item.failures += 1;
    }
    if (appended.error.kind === STORE_FAILURE.lost) {
      this.#appendTimeout.recordTimeout();
      for (const item of batch) {
        item.isPossiblyStored = true;
      }
    }
    return batch;
  }

  // The other records of the batch may be taken.
  #onRejected(batch: PendingWrite[], error: string): PendingWrite[] {
    const [first] = batch;
    if (batch.length > 1 || first === undefined) {
      for (const item of batch) {
        item.isAlone = true;
      }
      return batch;
    }
    this.log.error({ bytes: first.bytes, error, kind: first.record.kind }, 'record rejected by the store');
    first.settle(first.isPossiblyStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.rejected);
    return [];
  }

  #settleExpired(): void {
    const now = this.timers.mono();
    const isExpired = (item: PendingWrite): boolean =>
      item.deadline <= now || (!item.isPersistent && !item.isPossiblyStored && item.failures >= MAX_REFUSALS);
    for (const item of this.#queue.filter(isExpired)) {
      this.#queue.splice(this.#queue.indexOf(item), 1);
      item.settle(item.isPossiblyStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.refused);
    }
  }

  #updateHealth(isHealthy: boolean, error: string): void {
    if (this.#isHealthy !== isHealthy) {
      this.#isHealthy = isHealthy;
      this.log.info(
        { error, healthy: isHealthy },
        isHealthy ? 'job stream accepts records' : 'job stream accepts no records',
      );
    }
  }
}

// A heartbeat goes ahead of records that wait. A release keeps its place behind the last records of a term.
function isHeartbeat(record: JobRecord): boolean {
  return record.kind === JOB_RECORD.leader && !record.released;
}
