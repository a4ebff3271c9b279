import type { Worker } from '@sequoiaquay/core/jobs';
import type { WorkerLoopContext } from './worker-loop';
import { WorkerLoop } from './worker-loop';

/** The loops of a term over its workers. */
export class WorkerLoops {
  readonly #loops = new Map<Worker, WorkerLoop>();

  constructor(
    private readonly ctx: WorkerLoopContext,
    /** Pools whose VMs are switched off; their workers are not asked. */
    private readonly sparePools: () => ReadonlySet<string>,
    private readonly signal: AbortSignal,
  ) {}

  /** Starts the loops of workers that have none. */
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
        link.forget(worker.info);
      });
    }
  }

  /** Lets the loop of a worker look at once whether there is something to do. */
  wake(worker: Worker): void {
    this.#loops.get(worker)?.wake();
  }
}
