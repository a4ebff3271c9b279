import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { KeyedStream, StoredRecord, StoreError } from './ports/keyed-stream';
import { AdaptiveTimeout } from './adaptive-timeout';
import { NewestPages } from './newest-pages';
import { readNewest } from './newest-records';
import { STORE_FAILURE } from './ports/keyed-stream';

/** Settings of a tail. */
export interface TailSettings {
  /** Name of the stream in log records. */
  name: string;
  /** Pause after a read that returned records, in ms, so that the next read returns several at once. */
  readPauseMs: () => number;
  /** Delay before a failed read is retried, in ms. */
  retryDelayMs: number;
  /** Longest time for which the store holds a read open until a record is appended, in ms. */
  waitMs: number;
}

/** Handles a record of a stream; a record without a value deletes its key. */
export type RecordHandler = (record: StoredRecord) => void;

/**
 * Follows a stream: loads the newest record of each key, then reads every new record. Loads again if the
 * store has dropped records that were not yet read; keys that are missing then are reported as deleted.
 */
export class StreamTail {
  readonly #catchUps: { requestedAt: number; resolve: () => void }[] = [];
  readonly #offsetByKey = new Map<string, number>();
  readonly #readTimeout = new AdaptiveTimeout();
  #isLoaded = false;
  #reachableSince: number | undefined;
  #lastReadSentAt = -Infinity;
  #lastReadSentWallAt = -Infinity;
  #nextOffset = 0;

  constructor(
    private readonly stream: KeyedStream,
    private readonly settings: TailSettings,
    private readonly onRecord: RecordHandler,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Whether the newest record of each key has been loaded. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Monotonic time since which all reads have succeeded, in ms; undefined after a failure. */
  get reachableSince(): number | undefined {
    return this.#reachableSince;
  }

  /** Age of the data read, in ms; the larger of the ages by the monotonic and the wall clock. */
  ageMs(): number {
    return Math.max(this.timers.mono() - this.#lastReadSentAt, this.timers.now() - this.#lastReadSentWallAt);
  }

  /** Resolves once all records that were stored before the call are read, or the signal aborts. */
  catchUp(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.#catchUps.push({ requestedAt: this.timers.mono(), resolve });
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sentAt = this.timers.mono();
      const sentWallAt = this.timers.now();
      const recordCount = this.#isLoaded ? await this.#read(signal) : await this.#load(signal);
      if (recordCount.isOk()) {
        this.#onReadSuccess(sentAt, sentWallAt);
        await this.timers.sleep(recordCount.value > 0 ? this.settings.readPauseMs() : 0, signal);
      } else {
        await this.#onReadFailure(recordCount.error, signal);
      }
    }
  }

  async #load(signal: AbortSignal): Promise<Result<number, StoreError>> {
    const pages = new NewestPages(this.stream, this.settings.name, this.timers, this.log);
    const newest = await readNewest(pages, () => this.#readTimeout.currentMs, signal);
    // Records that were appended between two pages are read again, from the end at the first page.
    return newest.map(({ end, records }) => {
      this.#applySnapshot(records, end);
      this.log.info({ end, ...pages.progress, stream: this.settings.name }, 'stream loaded');
      return records.length;
    });
  }

  #applySnapshot(records: StoredRecord[], end: number): void {
    const present = new Set(records.map((record) => record.key));
    for (const key of [...this.#offsetByKey.keys()].filter((known) => !present.has(known))) {
      this.#applyRecord({ key, offset: end, value: undefined });
    }
    for (const record of records.sort((a, b) => a.offset - b.offset)) {
      this.#applyRecord(record);
    }
    this.#nextOffset = Math.max(end, 0);
    this.#isLoaded = true;
  }

  async #read(signal: AbortSignal): Promise<Result<number, StoreError>> {
    const startedAt = this.timers.mono();
    const waitMs = this.#catchUps.length > 0 ? 0 : this.settings.waitMs;
    const page = await this.stream.read({
      fromOffset: this.#nextOffset,
      signal,
      timeoutMs: this.#readTimeout.currentMs,
      waitMs,
    });
    if (page.isErr()) {
      if (page.error.kind === STORE_FAILURE.lost) {
        this.#readTimeout.recordTimeout();
      }
      return err(page.error);
    }
    const { end, records } = page.value;
    if (records.length > 0 || waitMs === 0) {
      this.#readTimeout.recordResponse(Math.min(this.timers.mono() - startedAt, this.#readTimeout.currentMs));
    }
    for (const record of records) {
      this.#applyRecord(record);
    }
    this.#nextOffset += records.length;
    if (records.length === 0 && end < this.#nextOffset) {
      // The stream ends before the next offset, so it has been replaced by another one: load it again.
      this.#isLoaded = false;
    }
    return ok(records.length);
  }

  #applyRecord(record: StoredRecord): void {
    const known = this.#offsetByKey.get(record.key);
    if (known !== undefined && known >= record.offset && record.value !== undefined) {
      return;
    }
    if (record.value === undefined) {
      this.#offsetByKey.delete(record.key);
    } else {
      this.#offsetByKey.set(record.key, record.offset);
    }
    this.onRecord(record);
  }

  #onReadSuccess(sentAt: number, sentWallAt: number): void {
    if (this.#reachableSince === undefined) {
      this.#reachableSince = this.timers.mono();
      this.log.info({ position: this.#nextOffset, stream: this.settings.name }, 'stream reachable');
    }
    this.#lastReadSentAt = sentAt;
    this.#lastReadSentWallAt = sentWallAt;
    const caughtUp = this.#catchUps.filter((item) => item.requestedAt <= sentAt);
    for (const item of caughtUp) {
      this.#catchUps.splice(this.#catchUps.indexOf(item), 1);
      item.resolve();
    }
  }

  async #onReadFailure(error: StoreError, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    if (this.#reachableSince !== undefined) {
      this.#reachableSince = undefined;
      this.log.warn({ error: error.message, stream: this.settings.name }, 'stream unreachable');
    }
    if (error.kind === STORE_FAILURE.trimmed) {
      this.#isLoaded = false;
      return;
    }
    await this.timers.sleep(this.settings.retryDelayMs, signal);
  }
}
