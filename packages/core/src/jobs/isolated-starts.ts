import type { AllowedWorkers } from './placement';
import type { Task } from './task';
import type { Worker } from './worker';
import { chooseWorker } from './placement';
import { isHeld, isIsolating, isStartingTasks } from './worker-crash';

/** Largest share of the workers of a pool on which only a suspected task may start. */
const MAX_ISOLATED_SHARE = 0.5;

/**
 * Longest time for which a worker starts no tasks so that a suspected task can start there alone, in ms. It is longer
 * than the worker may take to answer the orders that it has been sent; otherwise other tasks start there first, again
 * and again.
 */
const MAX_HOLD_MS = 2000;

/**
 * Chooses workers for tasks that are suspected of crashing theirs. Such a task starts on a worker that starts no
 * other task at the same time, so that a crash shows whether it is the cause, and that fewer tasks are lost with
 * the worker.
 */
export class IsolatedStarts {
  #open: Worker[] = [];

  constructor(
    private readonly workers: readonly Worker[],
    private readonly now: number,
  ) {
    this.#updateOpen();
  }

  /** Workers on which tasks that are not suspected may start. */
  get open(): readonly Worker[] {
    return this.#open;
  }

  /** Returns the worker on which a suspected task starts; undefined if it has to wait for one. */
  choose(task: Task, allowed: AllowedWorkers): Worker | undefined {
    const isFull = this.#isFull;
    const usable = this.workers.filter(
      (worker) => this.#isQuiet(worker) && (!isFull || this.#isHeld(worker)),
    );
    const worker = chooseWorker(task, usable, allowed);
    if (worker !== undefined) {
      worker.isolatedTask = task;
      worker.heldFor = undefined;
      this.#open = this.#open.filter((other) => other !== worker);
    } else if (!isFull) {
      this.#holdWorker(task, allowed);
    }
    return worker;
  }

  #holdWorker(task: Task, allowed: AllowedWorkers): void {
    const worker = chooseWorker(task, this.#open, allowed);
    if (worker !== undefined) {
      worker.heldFor = task;
      worker.heldUntil = this.now + MAX_HOLD_MS;
      this.#updateOpen();
    }
  }

  get #isFull(): boolean {
    const isolated = this.workers.length - this.#open.length;
    return isolated >= Math.max(1, Math.floor(MAX_ISOLATED_SHARE * this.workers.length));
  }

  #isHeld(worker: Worker): boolean {
    return isHeld(worker, this.now);
  }

  #isQuiet(worker: Worker): boolean {
    return !isStartingTasks(worker, this.now);
  }

  #updateOpen(): void {
    this.#open = this.workers.filter((worker) => !this.#isHeld(worker) && !isIsolating(worker, this.now));
  }
}
