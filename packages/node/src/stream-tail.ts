import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { KeyedStream, StoredRecord, StoreError } from './ports/keyed-stream';
import { CallLimit } from './call-limit';
import { readNewest } from './newest-records';
import { STORE_FAILURE } from './ports/keyed-stream';

/** Settings of a tail. */
export interface TailSettings {
  /** Pause after records have arrived, so that one read brings several, in ms. */
  gapMs: () => number;
  name: string;
  /** Pause after a failed read, in ms. */
  retryMs: number;
  /** Time for which the store waits for a record, in ms. */
  waitMs: number;
}

/** Takes the records of a stream; a record without a value drops its key. */
export type RecordHandler = (record: StoredRecord) => void;

/**
 * Follows a stream: reads the newest record of each key, then all that come. Starts over when the store
 * has dropped records that were not read; keys that are missing then are reported as dropped.
 */
export class StreamTail {
  readonly #catchUps: { askedAt: number; done: () => void }[] = [];
  readonly #keys = new Map<string, number>();
  readonly #limit = new CallLimit();
  #loaded = false;
  #okSince: number | undefined;
  #okSentAt = -Infinity;
  #okSentWall = -Infinity;
  #position = 0;

  constructor(
    private readonly stream: KeyedStream,
    private readonly settings: TailSettings,
    private readonly onRecord: RecordHandler,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Whether all records that were there at the start have been read. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Monotonic time since which every read has succeeded, in ms; undefined after a failure. */
  get okSince(): number | undefined {
    return this.#okSince;
  }

  /** Age of what has been read, in ms, by the clock that shows the longer time. */
  age(): number {
    return Math.max(this.timers.mono() - this.#okSentAt, this.timers.now() - this.#okSentWall);
  }

  /** Resolves once everything is read that was stored before the call. */
  catchUp(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.#catchUps.push({ askedAt: this.timers.mono(), done: resolve });
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sentAt = this.timers.mono();
      const sentWall = this.timers.now();
      const done = this.#loaded ? await this.#read(signal) : await this.#load(signal);
      if (done.isOk()) {
        this.#succeeded(sentAt, sentWall);
        await this.timers.sleep(done.value > 0 ? this.settings.gapMs() : 0, signal);
      } else {
        await this.#failed(done.error, signal);
      }
    }
  }

  async #load(signal: AbortSignal): Promise<Result<number, StoreError>> {
    const newest = await readNewest(this.stream, () => this.#limit.ms, signal);
    // Records that come between two pages are read again from the end of the first.
    return newest.map(({ end, records }) => {
      this.#install(records, end);
      return records.length;
    });
  }

  #install(records: StoredRecord[], end: number): void {
    const present = new Set(records.map((record) => record.key));
    for (const key of [...this.#keys.keys()].filter((known) => !present.has(known))) {
      this.#take({ key, offset: end, value: undefined });
    }
    for (const record of records.sort((a, b) => a.offset - b.offset)) {
      this.#take(record);
    }
    this.#position = Math.max(end, 0);
    this.#loaded = true;
    this.log.info({ end, keys: records.length, stream: this.settings.name }, 'stream loaded');
  }

  async #read(signal: AbortSignal): Promise<Result<number, StoreError>> {
    const startedAt = this.timers.mono();
    const waitMs = this.#catchUps.length > 0 ? 0 : this.settings.waitMs;
    const page = await this.stream.read({ from: this.#position, limitMs: this.#limit.ms, signal, waitMs });
    if (page.isErr()) {
      if (page.error.kind === STORE_FAILURE.lost) {
        this.#limit.missed();
      }
      return err(page.error);
    }
    const { end, records } = page.value;
    if (records.length > 0 || waitMs === 0) {
      this.#limit.answered(Math.min(this.timers.mono() - startedAt, this.#limit.ms));
    }
    for (const record of records) {
      this.#take(record);
    }
    this.#position += records.length;
    if (records.length === 0 && end < this.#position) {
      // The stream is another one than was read before.
      this.#loaded = false;
    }
    return ok(records.length);
  }

  #take(record: StoredRecord): void {
    const known = this.#keys.get(record.key);
    if (known !== undefined && known >= record.offset && record.value !== undefined) {
      return;
    }
    if (record.value === undefined) {
      this.#keys.delete(record.key);
    } else {
      this.#keys.set(record.key, record.offset);
    }
    this.onRecord(record);
  }

  #succeeded(sentAt: number, sentWall: number): void {
    if (this.#okSince === undefined) {
      this.#okSince = this.timers.mono();
      this.log.info({ position: this.#position, stream: this.settings.name }, 'stream reachable');
    }
    this.#okSentAt = sentAt;
    this.#okSentWall = sentWall;
    const caughtUp = this.#catchUps.filter((item) => item.askedAt <= sentAt);
    for (const item of caughtUp) {
      this.#catchUps.splice(this.#catchUps.indexOf(item), 1);
      item.done();
    }
  }

  async #failed(error: StoreError, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    if (this.#okSince !== undefined) {
      this.#okSince = undefined;
      this.log.warn({ error: error.message, stream: this.settings.name }, 'stream unreachable');
    }
    if (error.kind === STORE_FAILURE.trimmed) {
      this.#loaded = false;
      return;
    }
    await this.timers.sleep(this.settings.retryMs, signal);
  }
}
