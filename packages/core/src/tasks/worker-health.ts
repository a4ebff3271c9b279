import type { Task } from './task';

/** Failures of a worker since its last success. */
export interface FailureStreak {
  /** Number of failures in a row. */
  failures: number;
  /** Number of different jobs among them. */
  jobs: number;
  /** Time of the latest, ms since the epoch. */
  lastAt: number;
}

interface Failure {
  at: number;
  job: string;
  task: string;
}

/** Failures remembered for each worker. */
const MAX_FAILURES = 32;

/** Failures in a row of each worker, folded from the ends of attempts. */
export class WorkerHealth {
  readonly #failures = new Map<string, Failure[]>();

  /** Notes a failed attempt on a worker. */
  fail(worker: string, task: Task, at: number): void {
    const known = this.#failures.get(worker) ?? [];
    known.push({ at, job: `${task.pool}/${task.job}`, task: task.id });
    this.#failures.set(worker, known.slice(-MAX_FAILURES));
  }

  /** Notes a success: the worker's failures are no longer in a row. */
  succeed(worker: string): void {
    this.#failures.delete(worker);
  }

  /** Takes back the failures of a task that failed on several workers: the fault is the task's. */
  absolve(task: string, workers: readonly string[]): void {
    for (const worker of workers) {
      const left = (this.#failures.get(worker) ?? []).filter((failure) => failure.task !== task);
      if (left.length === 0) {
        this.#failures.delete(worker);
      } else {
        this.#failures.set(worker, left);
      }
    }
  }

  /** Failures in a row of a worker. */
  streakOf(worker: string): FailureStreak {
    const failures = this.#failures.get(worker) ?? [];
    return {
      failures: failures.length,
      jobs: new Set(failures.map((failure) => failure.job)).size,
      lastAt: failures.at(-1)?.at ?? 0,
    };
  }
}
