import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import type { KeyedStream, StoreError } from './ports/keyed-stream';
import { AdaptiveTimeout } from './adaptive-timeout';
import { MAX_APPEND_BYTES, sendAllowanceMs } from './append-limits';
import { STORE_FAILURE } from './ports/keyed-stream';
import { contentBytes } from './record-bytes';

interface PendingAppend {
  records: readonly KeyedRecord[];
  settle: (isStored: boolean) => void;
}

/** Delay before a failed append or read is retried, in ms. */
const RETRY_DELAY_MS = 60;

/** Most records in one append. */
const MAX_APPEND_RECORDS = 2000;

/**
 * Writes the records of a term to the stream of runs. Each append is conditional on the end of the stream.
 * On a conflict, either an earlier append of the same records succeeded and its answer was lost, or another
 * leader has written, which ends the term.
 */
export class TermLog {
  #isWriting = false;
  #end: number;
  #inFlightSince: number | undefined;
  readonly #storeTimeout = new AdaptiveTimeout();
  #queue: PendingAppend[] = [];

  constructor(
    private readonly stream: KeyedStream,
    end: number,
    private readonly onLost: (reason: string) => void,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
  ) {
    this.#end = end;
  }

  /** Time since the append in flight was started, in ms, including retries; 0 if there is none. */
  get appendDelayMs(): number {
    return this.#inFlightSince === undefined ? 0 : this.timers.mono() - this.#inFlightSince;
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
      this.#queue.push({ records, settle: resolve });
      if (!this.#isWriting) {
        this.#isWriting = true;
        void this.#drainQueue();
      }
    });
  }

  async #drainQueue(): Promise<void> {
    while (this.#queue.length > 0 && !this.signal.aborted) {
      const batch = this.#dequeueBatch();
      const isStored = await this.#storeRecords(batch.flatMap((pending) => pending.records));
      for (const pending of batch) {
        pending.settle(isStored);
      }
    }
    for (const pending of this.#queue.splice(0)) {
      pending.settle(false);
    }
    this.#isWriting = false;
  }

  #dequeueBatch(): PendingAppend[] {
    let bytes = 0;
    let recordCount = 0;
    const batchSize = this.#queue.findIndex(({ records }) => {
      bytes += contentBytes(records);
      recordCount += records.length;
      return bytes > MAX_APPEND_BYTES || recordCount > MAX_APPEND_RECORDS;
    });
    return this.#queue.splice(0, batchSize === -1 ? this.#queue.length : Math.max(1, batchSize));
  }

  async #storeRecords(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0) {
      return !this.signal.aborted;
    }
    this.#inFlightSince = this.timers.mono();
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
      if (appended.error.kind === STORE_FAILURE.lost) {
        this.#storeTimeout.recordTimeout();
        isPossiblyStored = true;
      }
      await this.timers.sleep(RETRY_DELAY_MS, this.signal);
    }
    return false;
  }

  #onStored(records: readonly KeyedRecord[]): boolean {
    this.#end += records.length;
    this.#inFlightSince = undefined;
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
