import type { JobRecord } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { encodeJobRecord } from '@sequoiaquay/core/jobs';
import type { KeyedStream } from './ports/keyed-stream';
import { CallLimit } from './call-limit';
import { STORE_FAILURE } from './ports/keyed-stream';

/** Outcomes of writing a record. */
export const WRITE_OUTCOME = {
  /** Surely not stored. */
  refused: 'refused',
  stored: 'stored',
  /** Possibly stored, now or later. */
  unknown: 'unknown',
} as const;

/** Outcome of writing a record. */
export type WriteOutcome = (typeof WRITE_OUTCOME)[keyof typeof WRITE_OUTCOME];

interface Item {
  /** Monotonic time after which the writer gives the record up, in ms. */
  deadline: number;
  done: (outcome: WriteOutcome) => void;
  /** Appends that failed with the record. */
  failures: number;
  /** An append with the record had no answer. */
  maybeStored: boolean;
  /** The record is tried until its deadline, also while the store refuses it. */
  persistent: boolean;
  record: JobRecord;
}

/** Longest time for which a caller waits for a write: another node may reach the store, in ms. */
const MAX_WRITE_MS = 1000;

/** Refused appends after which a caller is told. */
const MAX_REFUSALS = 2;

/** Period of trying to write while the store does not answer, in ms. */
const PROBE_MS = 250;

/** Pause after an append that failed, in ms. */
const RETRY_MS = 60;

/** Most records in one append. */
const MAX_BATCH = 200;

/** Writes records about jobs, several to an append, with one append in flight. Repeats are harmless. */
export class JobWriter {
  #busy = false;
  readonly #limit = new CallLimit();
  #healthy = true;
  readonly #queue: Item[] = [];
  #triedAt = -Infinity;

  constructor(
    private readonly stream: KeyedStream,
    private readonly onStored: (record: JobRecord) => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Whether a record that is written now may well be stored. After a failure one in a while is tried,
   * once the store answers reads again.
   */
  isPromising(canRead: boolean): boolean {
    return this.#healthy || (canRead && this.timers.mono() - this.#triedAt > PROBE_MS);
  }

  /** Tries a record a few times; says soon when it was surely not stored, and `unknown` after a while. */
  write(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#add(record, Math.min(deadline, this.timers.mono() + MAX_WRITE_MS), false);
  }

  /** Writes a record until a monotonic time in ms, through outages. */
  writePersistently(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#add(record, deadline, true);
  }

  #add(record: JobRecord, deadline: number, persistent: boolean): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      this.#queue.push({ deadline, done: resolve, failures: 0, maybeStored: false, persistent, record });
      if (!this.#busy) {
        this.#busy = true;
        void this.#run();
      }
    });
  }

  async #run(): Promise<void> {
    while (this.#queue.length > 0 && !this.signal.aborted) {
      const batch = this.#queue.splice(0, MAX_BATCH);
      const left = await this.#append(batch);
      if (left.length > 0) {
        this.#queue.unshift(...left);
        await this.timers.sleep(RETRY_MS, this.signal);
        this.#dropLate();
      }
    }
    this.#busy = false;
  }

  // Gives the items that are to be tried again.
  async #append(batch: Item[]): Promise<Item[]> {
    const startedAt = this.timers.mono();
    this.#triedAt = startedAt;
    const records = batch.flatMap((item) => encodeJobRecord(item.record));
    const appended = await this.stream.append({ limitMs: this.#limit.ms, records, signal: this.signal });
    if (appended.isOk()) {
      this.#limit.answered(this.timers.mono() - startedAt);
      this.#report(true, '');
      for (const item of batch) {
        this.onStored(item.record);
        item.done(WRITE_OUTCOME.stored);
      }
      return [];
    }
    this.#report(false, appended.error.message);
    for (const item of batch) {
      item.failures += 1;
    }
    if (appended.error.kind === STORE_FAILURE.lost) {
      this.#limit.missed();
      for (const item of batch) {
        item.maybeStored = true;
      }
    }
    return batch;
  }

  #dropLate(): void {
    const now = this.timers.mono();
    const isOver = (item: Item): boolean =>
      item.deadline <= now || (!item.persistent && !item.maybeStored && item.failures >= MAX_REFUSALS);
    for (const item of this.#queue.filter(isOver)) {
      this.#queue.splice(this.#queue.indexOf(item), 1);
      item.done(item.maybeStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.refused);
    }
  }

  #report(healthy: boolean, error: string): void {
    if (this.#healthy !== healthy) {
      this.#healthy = healthy;
      this.log.info(
        { error, healthy },
        healthy ? 'job stream accepts records' : 'job stream accepts no records',
      );
    }
  }
}
