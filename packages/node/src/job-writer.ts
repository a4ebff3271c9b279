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
  /** An append with the record had no answer. */
  maybeStored: boolean;
  record: JobRecord;
}

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

  constructor(
    private readonly stream: KeyedStream,
    private readonly onStored: (record: JobRecord) => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the last append succeeded. */
  get healthy(): boolean {
    return this.#healthy;
  }

  /** Writes a record until a monotonic time in ms. */
  write(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      this.#queue.push({ deadline, done: resolve, maybeStored: false, record });
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
    for (const item of this.#queue.filter((waiting) => waiting.deadline <= now)) {
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
