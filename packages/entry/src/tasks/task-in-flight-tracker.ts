import type { TaskTable } from '@sequoiaquay/core';
import type { InFlight } from '../in-flight';

/**
 * Counts tasks as in flight on their workers, at every entry and whichever entry drives them, so that no entry
 * reports a draining worker clear while a task runs there or is about to start there.
 */
export class TaskInFlightTracker {
  readonly #counted = new Map<string, string>();
  readonly #proposed = new Map<string, string>();

  constructor(
    private readonly tasks: TaskTable,
    private readonly inFlight: InFlight,
  ) {}

  /** Records that a lease of the task on the worker is being appended to the log. */
  setProposed(task: string, worker: string): void {
    this.#proposed.set(task, worker);
    this.update(task);
  }

  /** Records that the proposed lease was applied or abandoned. */
  clearProposed(task: string): void {
    this.#proposed.delete(task);
    this.update(task);
  }

  /** Returns whether a lease of the task is being appended to the log. */
  isProposed(task: string): boolean {
    return this.#proposed.has(task);
  }

  /** Updates the worker on which a task counts as in flight. */
  update(task: string): void {
    const worker = this.tasks.find(task)?.lease?.worker ?? this.#proposed.get(task);
    const countedWorker = this.#counted.get(task);
    if (worker === countedWorker) {
      return;
    }
    if (worker === undefined) {
      this.#counted.delete(task);
    } else {
      this.#counted.set(task, worker);
      this.inFlight.begin(worker);
    }
    if (countedWorker !== undefined) {
      this.inFlight.end(countedWorker);
    }
  }

  /** Updates all tasks, including those that are no longer live. */
  updateAll(): void {
    for (const task of [...this.#counted.keys(), ...this.tasks.liveTasks().map((live) => live.id)]) {
      this.update(task);
    }
  }
}
