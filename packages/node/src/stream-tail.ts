import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { KeyedStream, StoredRecord, StoreError } from './ports/keyed-stream';
import { AdaptiveTimeout } from './adaptive-timeout';
import { NewestPages } from './newest-pages';
import { STORE_FAILURE } from './ports/keyed-stream';
import { StreamLoad } from './stream-load';

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

/** Time of a call by both clocks, in ms. */
interface Instant {
  mono: number;
  wall: number;
}

/** Result of a call to the store while following a stream. */
interface ReadStep {
  /** Time as of which all records of the stream are known; undefined if the store holds more of them. */
  currentAt: Instant | undefined;
  recordCount: number;
}

/** Someone who waits for the records that were stored before a time. */
interface CatchUp {
  /** Monotonic time, in ms. */
  requestedAt: number;
  resolve: (isCaughtUp: boolean) => void;
}

/** Most bytes of new records in one read; small, so that a narrow link delivers the first of them soon. */
const MAX_READ_BYTES = 262_144;

/**
 * Reads in a row that leave the next record behind although the store decides about their size, after which the record
 * counts as larger than a read returns. Pages of newest records have at least one record, whatever its size.
 */
const MAX_EMPTY_READS = 3;

/** Most doublings of the timeout of a page that fails several times in a row. */
const MAX_DOUBLINGS = 2;

/**
 * Follows a stream: loads the newest record of each key, then reads every new record. Records are passed on
 * as they arrive. Loads again if the store has dropped records that were not yet read; keys that are missing
 * then are reported as deleted.
 */
export class StreamTail {
  #endPause: (() => void) | undefined;
  readonly #catchUps = new Set<CatchUp>();
  readonly #offsetByKey = new Map<string, number>();
  readonly #readTimeout = new AdaptiveTimeout();
  #isLoaded = false;
  #reachableSince: number | undefined;
  #lastReadSentAt = -Infinity;
  #lastReadSentWallAt = -Infinity;
  #load: StreamLoad | undefined;
  /** Reads in a row that left the next record behind. */
  #emptyReads = 0;
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

  /**
   * Monotonic time since which all reads have succeeded and reached the end of the stream, in ms; undefined
   * after a failure and until the stream is loaded.
   */
  get reachableSince(): number | undefined {
    return this.#reachableSince;
  }

  /** Age of the data read, in ms; the larger of the ages by the monotonic and the wall clock. */
  ageMs(): number {
    return Math.max(this.timers.mono() - this.#lastReadSentAt, this.timers.now() - this.#lastReadSentWallAt);
  }

  /**
   * Resolves with true once all records that were stored before the call are read, by a read that began after it; with
   * false if the signal aborts before.
   */
  catchUp(signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const catchUp = { requestedAt: this.timers.mono(), resolve };
      this.#catchUps.add(catchUp);
      this.#endPause?.();
      signal.addEventListener('abort', () => {
        this.#catchUps.delete(catchUp);
        resolve(false);
      });
    });
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#step(signal);
      } catch (error) {
        this.log.error({ err: error, stream: this.settings.name }, 'step of a reader failed');
        this.#reachableSince = undefined;
        await this.timers.sleep(this.settings.retryDelayMs, signal);
      }
    }
  }

  async #step(signal: AbortSignal): Promise<void> {
    const step = this.#isLoaded ? await this.#read(signal) : await this.#continueLoad(signal);
    if (step.isErr()) {
      await this.#onReadFailure(step.error, signal);
    } else {
      await this.#onStep(step.value, signal);
    }
  }

  // After each page all new records are read, so that the store drops none of them before they are read.
  async #continueLoad(signal: AbortSignal): Promise<Result<ReadStep, StoreError>> {
    const load = (this.#load ??= this.#beginLoad());
    if (load.mustReadNew) {
      const step = await this.#read(signal);
      return step.map(({ currentAt, recordCount }) => {
        load.mustReadNew = currentAt === undefined;
        const isComplete = this.#load === load && !load.mustReadNew && !load.pages.hasMore;
        if (isComplete) {
          this.#completeLoad(load);
        }
        return { currentAt: isComplete ? currentAt : undefined, recordCount };
      });
    }
    return this.#readPage(load, signal);
  }

  #beginLoad(): StreamLoad {
    const pages = new NewestPages(this.stream, this.settings.name, this.timers, this.log);
    return new StreamLoad(pages, this.#offsetByKey.keys());
  }

  async #readPage(load: StreamLoad, signal: AbortSignal): Promise<Result<ReadStep, StoreError>> {
    const isFirst = load.pages.progress.pages === 0;
    // The first byte of a page may wait for responses to other calls on the same link.
    const timeoutMs = this.#readTimeout.currentMs * 2 ** Math.min(load.pages.failuresInRow, MAX_DOUBLINGS);
    const page = await load.pages.readNext(timeoutMs, signal);
    return page.map(({ end, records }) => {
      this.#nextOffset = isFirst ? Math.max(end, 0) : this.#nextOffset;
      load.mustReadNew = true;
      for (const record of [...records].sort((a, b) => a.offset - b.offset)) {
        this.#applyRecord(record);
      }
      return { currentAt: undefined, recordCount: records.length };
    });
  }

  #completeLoad(load: StreamLoad): void {
    for (const key of load.unseenKeys) {
      this.#offsetByKey.delete(key);
      this.#passOn({ key, offset: this.#nextOffset, value: undefined });
    }
    this.#load = undefined;
    this.#isLoaded = true;
    this.log.info(
      { end: this.#nextOffset, ...load.pages.progress, stream: this.settings.name },
      'stream loaded',
    );
  }

  #startOver(): void {
    this.#isLoaded = false;
    this.#load = undefined;
    this.#emptyReads = 0;
  }

  async #read(signal: AbortSignal): Promise<Result<ReadStep, StoreError>> {
    const sentAt = this.#now();
    const isUrgent = this.#catchUps.size > 0 || this.#load !== undefined;
    const waitMs = isUrgent ? 0 : this.settings.waitMs;
    const page = await this.stream.read({
      fromOffset: this.#nextOffset,
      maxBytes: this.#emptyReads > 0 ? undefined : MAX_READ_BYTES,
      signal,
      timeoutMs: this.#readTimeout.currentMs,
      waitMs,
    });
    if (page.isErr()) {
      return err(page.error);
    }
    const { end, records } = page.value;
    if (records.length > 0 || waitMs === 0) {
      const elapsedMs = this.timers.mono() - sentAt.mono;
      this.#readTimeout.recordResponse(Math.min(elapsedMs, this.#readTimeout.currentMs));
    }
    for (const record of records) {
      this.#applyRecord(record);
    }
    this.#nextOffset += records.length;
    this.#emptyReads = records.length === 0 && end > this.#nextOffset ? this.#emptyReads + 1 : 0;
    if (records.length === 0 && end < this.#nextOffset) {
      // The stream ends before the next offset, so it has been replaced by another one: load it again.
      this.#startOver();
    } else if (this.#emptyReads > MAX_EMPTY_READS) {
      this.log.warn({ position: this.#nextOffset, stream: this.settings.name }, 'record larger than a read');
      this.#startOver();
    }
    return ok({ currentAt: this.#nextOffset >= end ? sentAt : undefined, recordCount: records.length });
  }

  #applyRecord(record: StoredRecord): void {
    const known = this.#offsetByKey.get(record.key);
    const isOld = known !== undefined && known >= record.offset;
    this.#load?.onRecord(record);
    if (isOld || (record.value !== undefined && this.#load?.isDeleted(record) === true)) {
      return;
    }
    if (record.value === undefined) {
      this.#offsetByKey.delete(record.key);
    } else {
      this.#offsetByKey.set(record.key, record.offset);
    }
    this.#passOn(record);
  }

  // An error while a record is handled must not end the process: every node reads the same record, also after a
  // restart.
  #passOn(record: StoredRecord): void {
    try {
      this.onRecord(record);
    } catch (error) {
      const { key, offset } = record;
      this.log.error({ err: error, key, offset, stream: this.settings.name }, 'record handled with an error');
    }
  }

  #now(): Instant {
    return { mono: this.timers.mono(), wall: this.timers.now() };
  }

  async #onStep({ currentAt, recordCount }: ReadStep, signal: AbortSignal): Promise<void> {
    if (currentAt !== undefined) {
      this.#onCurrent(currentAt);
      await this.#pause(recordCount > 0 ? this.settings.readPauseMs() : 0, signal);
      return;
    }
    if (this.#reachableSince !== undefined) {
      this.#reachableSince = this.timers.mono();
    }
    if (recordCount === 0) {
      await this.timers.sleep(this.settings.retryDelayMs, signal);
    }
  }

  // Ends early when someone waits for the newest records.
  async #pause(pauseMs: number, signal: AbortSignal): Promise<void> {
    const mustRead = new Promise<void>((resolve) => {
      this.#endPause = resolve;
    });
    if (this.#catchUps.size === 0) {
      await Promise.race([this.timers.sleep(pauseMs, signal), mustRead]);
    }
    this.#endPause = undefined;
  }

  #onCurrent(sentAt: Instant): void {
    if (this.#reachableSince === undefined) {
      this.#reachableSince = this.timers.mono();
      this.log.info({ position: this.#nextOffset, stream: this.settings.name }, 'stream reachable');
    }
    this.#lastReadSentAt = sentAt.mono;
    this.#lastReadSentWallAt = sentAt.wall;
    for (const catchUp of this.#catchUps) {
      if (catchUp.requestedAt <= sentAt.mono) {
        this.#catchUps.delete(catchUp);
        catchUp.resolve(true);
      }
    }
  }

  async #onReadFailure(error: StoreError, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    if (error.kind === STORE_FAILURE.lost) {
      this.#readTimeout.recordTimeout();
    }
    if (this.#reachableSince !== undefined) {
      this.#reachableSince = undefined;
      this.log.warn({ error: error.message, stream: this.settings.name }, 'stream unreachable');
    }
    if (error.kind === STORE_FAILURE.trimmed) {
      this.#startOver();
      return;
    }
    await this.timers.sleep(this.settings.retryDelayMs, signal);
  }
}
