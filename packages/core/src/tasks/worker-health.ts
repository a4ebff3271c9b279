import type { Task } from './task';

/** Consecutive failures of a worker since its last success. */
export interface FailureStreak {
  /** Number of consecutive failures. */
  failures: number;
  /** Number of different jobs among them. */
  jobs: number;
  /** Time of the latest failure, in ms since the epoch. */
  lastAt: number;
}

interface Failure {
  at: number;
  job: string;
  task: string;
}

/** Maximum number of failures stored for each worker. */
const MAX_FAILURES_PER_WORKER = 32;

/** Consecutive failures of each worker, derived from the log records that end attempts. */
export class WorkerHealth {
  readonly #failures = new Map<string, Failure[]>();

  /** Records a failed attempt on a worker. */
  recordFailure(worker: string, task: Task, at: number): void {
    const failures = this.#failures.get(worker) ?? [];
    failures.push({ at, job: `${task.pool}/${task.job}`, task: task.id });
    this.#failures.set(worker, failures.slice(-MAX_FAILURES_PER_WORKER));
  }

  /** Records a successful attempt on a worker, which resets its failures. */
  recordSuccess(worker: string): void {
    this.#failures.delete(worker);
  }

  /** Discards the failures of a task that failed on several workers: the task is at fault, not the workers. */
  discardFailures(task: string, workers: readonly string[]): void {
    for (const worker of workers) {
      const remaining = (this.#failures.get(worker) ?? []).filter((failure) => failure.task !== task);
      if (remaining.length === 0) {
        this.#failures.delete(worker);
      } else {
        this.#failures.set(worker, remaining);
      }
    }
  }

  /** Returns the consecutive failures of a worker. */
  streakOf(worker: string): FailureStreak {
    const failures = this.#failures.get(worker) ?? [];
    return {
      failures: failures.length,
      jobs: new Set(failures.map((failure) => failure.job)).size,
      lastAt: failures.at(-1)?.at ?? 0,
    };
  }
}
