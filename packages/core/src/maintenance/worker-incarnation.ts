import type { Worker } from '../jobs/worker';

/** Worker of a VM at the time of an order for the VM. A later incarnation of it is not affected by the order. */
export class WorkerIncarnation {
  readonly #bornAt: number;

  constructor(private readonly worker: Worker) {
    this.#bornAt = worker.info.bornAt;
  }

  /** Returns the worker, or undefined if another incarnation of it runs by now. */
  current(): Worker | undefined {
    return this.worker.info.bornAt === this.#bornAt ? this.worker : undefined;
  }
}

/** Time after which an unanswered order for a VM is no longer carried out, in ms. */
export const LATE_VM_ORDER_WINDOW_MS = 15_000;
