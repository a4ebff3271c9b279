import type { TaskTable } from '@sequoiaquay/core';
import type { InFlight } from '../in-flight';

/**
 * Counts tasks as in flight on their workers, at every entry and whoever drives them, so that no entry
 * reports a draining worker clear while a task runs there or is about to.
 */
export class TaskPlaces {
  readonly #held = new Map<string, string>();
  readonly #proposed = new Map<string, string>();

  constructor(
    private readonly tasks: TaskTable,
    private readonly inFlight: InFlight,
  ) {}

  /** Notes that a lease of the task on the worker is on its way to the log. */
  propose(task: string, worker: string): void {
    this.#proposed.set(task, worker);
    this.sync(task);
  }

  /** Notes that the proposal has been judged or given up. */
  settle(task: string): void {
    this.#proposed.delete(task);
    this.sync(task);
  }

  /** Whether a lease of the task is on its way to the log. */
  isProposed(task: string): boolean {
    return this.#proposed.has(task);
  }

  /** Brings the count of one task up to date. */
  sync(task: string): void {
    const wanted = this.tasks.find(task)?.lease?.worker ?? this.#proposed.get(task);
    const held = this.#held.get(task);
    if (wanted === held) {
      return;
    }
    if (wanted === undefined) {
      this.#held.delete(task);
    } else {
      this.#held.set(task, wanted);
      this.inFlight.begin(wanted);
    }
    if (held !== undefined) {
      this.inFlight.end(held);
    }
  }

  /** Brings all counts up to date, after the table was rebuilt. */
  syncAll(): void {
    for (const task of [...this.#held.keys(), ...this.tasks.liveTasks().map((live) => live.id)]) {
      this.sync(task);
    }
  }
}
