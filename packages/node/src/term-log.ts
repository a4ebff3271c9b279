import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import type { AppendLimits } from './append-limits';
import type { KeyedStream, StoreError } from './ports/keyed-stream';
import { AdaptiveTimeout } from './adaptive-timeout';
import { MAX_APPEND_BYTES, NO_APPEND_LIMITS, sendAllowanceMs } from './append-limits';
import { STORE_FAILURE } from './ports/keyed-stream';
import { storedBytes } from './record-bytes';

interface PendingAppend {
  records: readonly KeyedRecord[];
  /** Number of its records that are stored or in flight. */
  sentCount: number;
  settle: (isStored: boolean) => void;
  /** Monotonic time at which its first record was sent, in ms; undefined before that. */
  startedAt: number | undefined;
}

/** Delay before a failed append or read is retried, in ms. */
const RETRY_DELAY_MS = 60;

/** Most records in one append. */
const MAX_APPEND_RECORDS = 2000;

/**
 * Writes the records of a term to the stream of runs, in their order and in appends of a bounded size: a term that
 * ends on the way leaves the first records of a call. Each append is conditional on the end of the stream. On a conflict, either an earlier append of the same records succeeded and its answer was lost, or another
 * leader has written, which ends the term.
 */
export class TermLog {
  #isWriting = false;
  #end: number;
  readonly #maxBytes: number;
  readonly #storeTimeout = new AdaptiveTimeout();
  #queue: PendingAppend[] = [];

  constructor(
    private readonly stream: KeyedStream,
    end: number,
    private readonly onLost: (reason: string) => void,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
    limits: AppendLimits = NO_APPEND_LIMITS,
  ) {
    this.#end = end;
    this.#maxBytes = Math.min(MAX_APPEND_BYTES, limits.callBytes);
  }

  /** Time since the first record of the call in progress was sent, in ms, including retries; 0 if there is none. */
  get appendDelayMs(): number {
    const startedAt = this.#queue[0]?.startedAt;
    return startedAt === undefined ? 0 : this.timers.mono() - startedAt;
  }

  /**
   * Stores records in the order of the calls; returns false if the term is over. Without records it resolves
   * once the records of all earlier calls are stored.
   */
  append(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0 && !this.#isWriting) {
      return Promise.resolve(!this.signal.aborted);
    }
    return new Promise((resolve) => {
      this.#queue.push({ records, sentCount: 0, settle: resolve, startedAt: undefined });
      if (!this.#isWriting) {
        this.#isWriting = true;
        void this.#drainQueue();
      }
    });
  }

  async #drainQueue(): Promise<void> {
    while (this.#queue.length > 0 && !this.signal.aborted) {
      const isStored = await this.#storeRecords(this.#takeBatch());
      if (!isStored) {
        break;
      }
      this.#settleStored();
    }
    for (const pending of this.#queue.splice(0)) {
      pending.settle(false);
    }
    this.#isWriting = false;
  }

  // A record that exceeds the bound by itself is sent alone.
  #takeBatch(): KeyedRecord[] {
    const batch: KeyedRecord[] = [];
    let bytes = 0;
    for (const pending of this.#queue) {
      for (const record of pending.records.slice(pending.sentCount, pending.sentCount + MAX_APPEND_RECORDS)) {
        bytes += storedBytes([record]);
        if (batch.length > 0 && (bytes > this.#maxBytes || batch.length >= MAX_APPEND_RECORDS)) {
          return batch;
        }
        batch.push(record);
        pending.sentCount += 1;
        pending.startedAt ??= this.timers.mono();
      }
    }
    return batch;
  }

  #settleStored(): void {
    const unstored = this.#queue.findIndex(({ records, sentCount }) => sentCount < records.length);
    const count = unstored === -1 ? this.#queue.length : unstored;
    for (const pending of this.#queue.splice(0, count)) {
      pending.settle(true);
    }
  }

  async #storeRecords(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0) {
      return !this.signal.aborted;
    }
    const allowanceMs = sendAllowanceMs(records);
    let isPossiblyStored = false;
    while (!this.signal.aborted) {
      const startedAt = this.timers.mono();
      const req = {
        expectedEnd: this.#end,
        records,
        signal: this.signal,
        timeoutMs: this.#storeTimeout.currentMs + allowanceMs,
      };
      const appended = await this.stream.append(req);
      if (appended.isOk()) {
        this.#storeTimeout.recordResponse(this.timers.mono() - startedAt);
        return this.#onStored(records);
      }
      if (appended.error.kind === STORE_FAILURE.conflict) {
        return isPossiblyStored && (await this.#areOwnRecordsStored(records))
          ? this.#onStored(records)
          : this.#reportLostTerm(appended.error);
      }
      if (appended.error.kind === STORE_FAILURE.rejected) {
        return this.#storeHalves(records, appended.error);
      }
      if (appended.error.kind === STORE_FAILURE.lost) {
        this.#storeTimeout.recordTimeout();
        isPossiblyStored = true;
      }
      await this.timers.sleep(RETRY_DELAY_MS, this.signal);
    }
    return false;
  }

  // Smaller appends may be taken. A term whose record is never taken could neither order nor acknowledge anything.
  async #storeHalves(records: readonly KeyedRecord[], error: StoreError): Promise<boolean> {
    if (records.length === 1) {
      this.onLost(`the store never takes the record ${records[0]?.key ?? ''}: ${error.message}`);
      return false;
    }
    const middle = Math.ceil(records.length / 2);
    return (await this.#storeRecords(records.slice(0, middle))) && this.#storeRecords(records.slice(middle));
  }

  #onStored(records: readonly KeyedRecord[]): boolean {
    this.#end += records.length;
    return true;
  }

  #reportLostTerm(error: StoreError): boolean {
    if (!this.signal.aborted) {
      this.onLost(`the stream of runs ends at ${error.offset ?? -1}, not at ${this.#end}`);
    }
    return false;
  }

  // Returns whether the stream holds these records at the offset at which this term appended them.
  async #areOwnRecordsStored(records: readonly KeyedRecord[]): Promise<boolean> {
    while (!this.signal.aborted) {
      const req = {
        fromOffset: this.#end,
        signal: this.signal,
        timeoutMs: this.#storeTimeout.currentMs,
        waitMs: 0,
      };
      const page = await this.stream.read(req);
      if (page.isOk()) {
        const found = page.value.records;
        return (
          page.value.end === this.#end + records.length &&
          records.every((record, at) => found[at]?.key === record.key && found[at].value === record.value)
        );
      }
      if (page.error.kind === STORE_FAILURE.trimmed) {
        return false;
      }
      await this.timers.sleep(RETRY_DELAY_MS, this.signal);
    }
    return false;
  }
}
