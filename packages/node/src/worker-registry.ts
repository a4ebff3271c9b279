import type { Scheduler } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ChangeLogger } from '@sequoiaquay/runtime';
import type { FleetCodec } from './ports/fleet-codec';
import type { KeyedStream, StoredRecord } from './ports/keyed-stream';
import { StreamTail } from './stream-tail';

/** Dependencies of the worker registry. */
export interface WorkerRegistryContext {
  codec: FleetCodec;
  log: Logger;
  /** Called after a worker's entry has been applied. */
  onChange: () => void;
  scheduler: Scheduler;
  stream: KeyedStream;
  timers: TimerService;
}

const TAIL_SETTINGS = {
  /** Pause after a read that returned entries, in ms. */
  name: 'registry',
  readPauseMs: () => 120,
  retryDelayMs: 150,
  waitMs: 1000,
};

/** Interval between checks whether the registry is loaded, in ms. */
const LOAD_POLL_INTERVAL_MS = 2;

/** Follows the registry of the workers and passes its entries to the scheduler. */
export class WorkerRegistry {
  readonly #changes: ChangeLogger;
  readonly #tail: StreamTail;

  constructor(private readonly ctx: WorkerRegistryContext) {
    const { log, stream, timers } = ctx;
    this.#changes = new ChangeLogger(log);
    this.#tail = new StreamTail(
      stream,
      TAIL_SETTINGS,
      (record) => {
        this.#onEntry(record);
      },
      timers,
      log,
    );
  }

  /** Monotonic time as of which the entries are known, in ms. */
  get currentAt(): number {
    return this.ctx.timers.mono() - this.#tail.ageMs();
  }

  /** Follows the registry until the signal aborts; resolves once it is loaded. */
  async follow(signal: AbortSignal): Promise<void> {
    void this.#tail.run(signal);
    while (!this.#tail.isLoaded && !signal.aborted) {
      await this.ctx.timers.sleep(LOAD_POLL_INTERVAL_MS, signal);
    }
  }

  #onEntry(record: StoredRecord): void {
    const { codec, onChange, scheduler, timers } = this.ctx;
    const id = codec.decodeWorkerId(record.key);
    if (record.value === undefined) {
      scheduler.onWorkerDeregistered(id);
      return;
    }
    const info = codec.decodeWorker(record.key, record.value);
    if (info.isErr()) {
      this.#changes.report(`registry entry ${id}`, 'unusable', { error: info.error.slice(0, 200) });
      scheduler.onWorkerDeregistered(id);
      return;
    }
    scheduler.onWorkerRegistered(info.value, timers.mono());
    onChange();
  }
}
