import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import type { KeyedStream, StoreError } from './ports/keyed-stream';
import { CallLimit } from './call-limit';
import { STORE_FAILURE } from './ports/keyed-stream';

interface Batch {
  done: (stored: boolean) => void;
  records: readonly KeyedRecord[];
}

/** Pause after an append that failed, in ms. */
const RETRY_MS = 60;

/** Most records in one append. */
const MAX_RECORDS = 2000;

/**
 * Writes the records of a term as leader, each append under the condition that nobody else has written
 * since. An append that finds another end is either our own, whose answer was lost, or the term is over.
 */
export class TermLog {
  #busy = false;
  #end: number;
  #inFlightSince: number | undefined;
  readonly #limit = new CallLimit();
  #queue: Batch[] = [];

  constructor(
    private readonly stream: KeyedStream,
    end: number,
    private readonly onLost: (reason: string) => void,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
  ) {
    this.#end = end;
  }

  /** Time for which the oldest append has had no answer, in ms. */
  get delayMs(): number {
    return this.#inFlightSince === undefined ? 0 : this.timers.mono() - this.#inFlightSince;
  }

  /**
   * Stores records, after all that were handed in before; false when the term is over. Without records it
   * tells when those before are stored.
   */
  append(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0 && !this.#busy) {
      return Promise.resolve(!this.signal.aborted);
    }
    return new Promise((resolve) => {
      this.#queue.push({ done: resolve, records });
      if (!this.#busy) {
        this.#busy = true;
        void this.#run();
      }
    });
  }

  async #run(): Promise<void> {
    while (this.#queue.length > 0 && !this.signal.aborted) {
      const batches = this.#takeBatches();
      const stored = await this.#store(batches.flatMap((batch) => batch.records));
      for (const batch of batches) {
        batch.done(stored);
      }
    }
    for (const batch of this.#queue.splice(0)) {
      batch.done(false);
    }
    this.#busy = false;
  }

  #takeBatches(): Batch[] {
    let records = 0;
    const fits = this.#queue.findIndex((batch) => (records += batch.records.length) > MAX_RECORDS);
    return this.#queue.splice(0, fits === -1 ? this.#queue.length : Math.max(1, fits));
  }

  async #store(records: readonly KeyedRecord[]): Promise<boolean> {
    if (records.length === 0) {
      return !this.signal.aborted;
    }
    this.#inFlightSince = this.timers.mono();
    let maybeStored = false;
    while (!this.signal.aborted) {
      const startedAt = this.timers.mono();
      const call = { expectedEnd: this.#end, limitMs: this.#limit.ms, records, signal: this.signal };
      const appended = await this.stream.append(call);
      if (appended.isOk()) {
        this.#limit.answered(this.timers.mono() - startedAt);
        return this.#stored(records);
      }
      if (appended.error.kind === STORE_FAILURE.conflict) {
        return maybeStored && (await this.#isOurs(records))
          ? this.#stored(records)
          : this.#giveUp(appended.error);
      }
      if (appended.error.kind === STORE_FAILURE.lost) {
        this.#limit.missed();
        maybeStored = true;
      }
      await this.timers.sleep(RETRY_MS, this.signal);
    }
    return false;
  }

  #stored(records: readonly KeyedRecord[]): boolean {
    this.#end += records.length;
    this.#inFlightSince = undefined;
    return true;
  }

  #giveUp(error: StoreError): boolean {
    if (!this.signal.aborted) {
      this.onLost(`the stream of runs ends at ${error.offset ?? -1}, not at ${this.#end}`);
    }
    return false;
  }

  // Whether the stream holds these records where this term expected to write them.
  async #isOurs(records: readonly KeyedRecord[]): Promise<boolean> {
    while (!this.signal.aborted) {
      const call = { from: this.#end, limitMs: this.#limit.ms, signal: this.signal, waitMs: 0 };
      const page = await this.stream.read(call);
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
      await this.timers.sleep(RETRY_MS, this.signal);
    }
    return false;
  }
}
