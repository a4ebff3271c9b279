import type { Worker } from '@sequoiaquay/core/jobs';
import type { WorkerLoopContext } from './worker-loop';
import { WorkerLoop } from './worker-loop';

/** Delay after an unexpected error in a loop, in ms. */
const RESTART_DELAY_MS = 500;

/** Runs one report loop for each worker of a term. */
export class WorkerLoops {
  readonly #loops = new Map<Worker, WorkerLoop>();

  constructor(
    private readonly ctx: WorkerLoopContext,
    /** Returns the names of the spare pools; their VMs are switched off, so idle workers get no requests. */
    private readonly sparePools: () => ReadonlySet<string>,
    private readonly signal: AbortSignal,
  ) {}

  /** Starts loops for the workers that have none, and wakes those of workers that must be asked before they are used. */
  startMissing(): void {
    const { link, scheduler } = this.ctx;
    const spare = this.sparePools();
    for (const worker of scheduler.workers.values()) {
      // An entry may have shown a new incarnation. A worker that does not answer keeps the pauses between its calls.
      if (!worker.isFenced && !worker.isUnresponsive) {
        this.wakeUp(worker);
      }
      // A run that an earlier term assigned to the worker is released only after a report or without an answer.
      const hasRuns = worker.runs.size > 0 || worker.finishedMembers.size > 0;
      const isOff = spare.has(worker.info.pool) && !hasRuns;
      if (this.#loops.has(worker) || isOff) {
        continue;
      }
      const loop = new WorkerLoop(worker, this.ctx, this.signal);
      this.#loops.set(worker, loop);
      void this.#run(loop, worker).then(() => {
        this.#loops.delete(worker);
        link.disconnect(worker.info);
      });
    }
  }

  // An unexpected error with one worker must not end the process; its loop starts again after a delay.
  async #run(loop: WorkerLoop, worker: Worker): Promise<void> {
    while (!this.signal.aborted) {
      try {
        await loop.run();
        return;
      } catch (error) {
        this.ctx.log.error({ err: error, worker: worker.info.id }, 'loop of a worker failed');
        await this.ctx.timers.sleep(RESTART_DELAY_MS, this.signal);
      }
    }
  }

  /** Requests a report, with a new reading of the worker's clock; resolves once it has arrived or failed. */
  async refreshClock(worker: Worker): Promise<void> {
    await this.#loops.get(worker)?.refresh();
  }

  /** Resolves once an acknowledgement to the worker that is in flight has an outcome. */
  async acknowledged(worker: Worker): Promise<void> {
    await this.#loops.get(worker)?.acknowledged();
  }

  /** Ends the current pause of a worker's loop, so that it checks at once whether a report is needed. */
  wakeUp(worker: Worker): void {
    this.#loops.get(worker)?.wakeUp();
  }
}
