import type { Worker } from '@sequoiaquay/core/jobs';
import type { WorkerLoopContext } from './worker-loop';
import { WorkerLoop } from './worker-loop';

/** Runs one report loop for each worker of a term. */
export class WorkerLoops {
  readonly #loops = new Map<Worker, WorkerLoop>();

  constructor(
    private readonly ctx: WorkerLoopContext,
    /** Returns the names of the spare pools; their VMs are switched off, so their workers get no requests. */
    private readonly sparePools: () => ReadonlySet<string>,
    private readonly signal: AbortSignal,
  ) {}

  /** Starts loops for the workers that have none. */
  startMissing(): void {
    const { link, scheduler } = this.ctx;
    const spare = this.sparePools();
    for (const worker of scheduler.workers.values()) {
      if (this.#loops.has(worker) || spare.has(worker.info.pool)) {
        continue;
      }
      const loop = new WorkerLoop(worker, this.ctx, this.signal);
      this.#loops.set(worker, loop);
      void loop.run().then(() => {
        this.#loops.delete(worker);
        link.disconnect(worker.info);
      });
    }
  }

  /** Ends the current pause of a worker's loop, so that it checks at once whether a report is needed. */
  wakeUp(worker: Worker): void {
    this.#loops.get(worker)?.wakeUp();
  }
}
