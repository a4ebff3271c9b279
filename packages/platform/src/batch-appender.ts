import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import type { LogService, StreamName } from './log-client';
import type { PlatformError } from './platform-error';

/** Settings of a batch appender. */
export interface BatchAppenderSettings {
  /** Time for which a record waits for further records to share its append, in ms. */
  batchMs: number;
  /** Maximum number of records per append. */
  maxBatch: number;
  /** Maximum delay between retries, in ms. */
  retryMaxMs: number;
  /** Delay before the first retry, in ms; doubles with each further retry. */
  retryMinMs: number;
}

/** Counters of a batch appender. */
export interface BatchAppenderCounters {
  appends: number;
  failures: number;
  records: number;
}

/** Handle of a queued record, for its writer. */
export interface AppendHandle {
  /** Whether the record may be in the log: an append that contains it was sent and not refused. */
  mayBeStored: () => boolean;
}

interface PendingRecord {
  mayBeStored: boolean;
  record: unknown;
  /** A record whose signal has aborted is not sent or retried. */
  signal: AbortSignal;
}

/**
 * Appends records to one stream in batches, with one append in flight.
 * A failed append is retried with the same records until their signals abort. Records carry ids, so the
 * replicas that apply the log recognise duplicates from an append whose response was lost. The caller
 * learns from its replica, not from the appender, whether a record is in the log.
 */
export class BatchAppender {
  readonly counters: BatchAppenderCounters = { appends: 0, failures: 0, records: 0 };
  #isDraining = false;
  #queue: PendingRecord[] = [];

  constructor(
    private readonly log: LogService,
    private readonly stream: StreamName,
    private readonly settings: BatchAppenderSettings,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
    private readonly onFailure: (error: PlatformError) => void = () => undefined,
  ) {}

  /** Number of records that the log has not acknowledged yet. */
  get pending(): number {
    return this.#queue.length;
  }

  /** Queues a record; it is dropped when its signal aborts. */
  append(record: unknown, signal: AbortSignal): AppendHandle {
    const item: PendingRecord = { mayBeStored: false, record, signal };
    this.#queue.push(item);
    if (!this.#isDraining) {
      this.#isDraining = true;
      this.timers.after(this.settings.batchMs, () => void this.#drainQueue(), this.signal);
    }
    return { mayBeStored: () => item.mayBeStored };
  }

  async #drainQueue(): Promise<void> {
    let retryDelayMs = this.settings.retryMinMs;
    while (this.#dropAborted() && !this.signal.aborted) {
      const batch = this.#queue.slice(0, this.settings.maxBatch);
      const appended = await this.#appendBatch(batch);
      if (appended.isOk()) {
        this.#queue.splice(0, batch.length);
        this.counters.appends += 1;
        this.counters.records += batch.length;
        retryDelayMs = this.settings.retryMinMs;
        continue;
      }
      this.counters.failures += 1;
      this.onFailure(appended.error);
      await this.timers.sleep(retryDelayMs, this.signal);
      retryDelayMs = Math.min(2 * retryDelayMs, this.settings.retryMaxMs);
    }
    this.#isDraining = false;
  }

  async #appendBatch(batch: readonly PendingRecord[]): Promise<Result<number, PlatformError>> {
    const previous = batch.map((item) => item.mayBeStored);
    for (const item of batch) {
      item.mayBeStored = true;
    }
    const records = batch.map((item) => item.record);
    const appended = await this.log.append(this.stream, records, this.signal);
    if (appended.isErr() && appended.error.kind === 'refused') {
      batch.forEach((item, index) => {
        item.mayBeStored = previous[index] ?? true;
      });
    }
    return appended;
  }

  #dropAborted(): boolean {
    this.#queue = this.#queue.filter((item) => !item.signal.aborted);
    return this.#queue.length > 0;
  }
}
