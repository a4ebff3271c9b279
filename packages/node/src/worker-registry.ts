import type { Scheduler } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ChangeLog } from '@sequoiaquay/runtime';
import type { FleetCodec } from './ports/fleet-feed';
import type { KeyedStream, StoredRecord } from './ports/keyed-stream';
import { StreamTail } from './stream-tail';

/** What the registry of the workers is read with, and who hears of it. */
export interface WorkerRegistryContext {
  codec: FleetCodec;
  log: Logger;
  /** Runs after a worker's entry was taken. */
  onChange: () => void;
  scheduler: Scheduler;
  stream: KeyedStream;
  timers: TimerService;
}

const TAIL = {
  /** Pause between reads that bring entries, in ms. */
  gapMs: () => 120,
  name: 'registry',
  retryMs: 150,
  waitMs: 1000,
};

/** Period of looking whether the registry has been read, in ms. */
const LOOK_MS = 2;

/** Follows the registry of the workers and tells the scheduler of them. */
export class WorkerRegistry {
  readonly #changes: ChangeLog;
  readonly #tail: StreamTail;

  constructor(private readonly ctx: WorkerRegistryContext) {
    const { log, stream, timers } = ctx;
    this.#changes = new ChangeLog(log);
    this.#tail = new StreamTail(
      stream,
      TAIL,
      (record) => {
        this.#onEntry(record);
      },
      timers,
      log,
    );
  }

  /** Follows the registry until the signal aborts; resolves once all that is there has been read. */
  async open(signal: AbortSignal): Promise<void> {
    void this.#tail.run(signal);
    while (!this.#tail.loaded && !signal.aborted) {
      await this.ctx.timers.sleep(LOOK_MS, signal);
    }
  }

  #onEntry(record: StoredRecord): void {
    const { codec, onChange, scheduler, timers } = this.ctx;
    const id = codec.workerId(record.key);
    if (record.value === undefined) {
      scheduler.onWorkerDeregistered(id);
      return;
    }
    const info = codec.worker(record.key, record.value);
    if (info.isErr()) {
      this.#changes.report(`registry entry ${id}`, 'unusable', { error: info.error.slice(0, 200) });
      scheduler.onWorkerDeregistered(id);
      return;
    }
    scheduler.onWorkerRegistered(info.value, timers.mono());
    onChange();
  }
}
