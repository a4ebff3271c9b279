import type { JobRun } from './job-run';

/** Time after which a waiting job is treated as the first of its priority, in ms. */
export const LONG_WAIT_MS = 10_000;

/** Number of assigned jobs of which one may be such a job. */
export const LONG_WAIT_INTERVAL = 8;

/** Most tasks of a job that are assigned in its turn. */
export const MAX_TURN_TASKS = 32;

/** Job that has waited long and whose turn has come. */
interface DueJob {
  run: JobRun;
  tasksLeft: number;
}

/**
 * Gives jobs that have waited for more than `LONG_WAIT_MS` a turn as first of their priority, the oldest first, at most
 * once in `LONG_WAIT_INTERVAL` assigned jobs of the pool. A job whose priority is served and that fits where tasks end
 * therefore waits no longer than `LONG_WAIT_MS` plus (number of jobs that have waited longer, itself included) x
 * `LONG_WAIT_INTERVAL` x (time between two assigned jobs), whatever its workspace and whatever others send.
 */
export class WaitingTurns {
  #due: DueJob | undefined;
  /** Number of jobs assigned since the last one that was due. */
  #jobsSince = 0;

  /** Whether it is the turn of a job, of which further tasks wait. */
  isTurnOf(run: JobRun): boolean {
    return this.#due?.run === run;
  }

  /** Returns the job whose turn it is among those that have waited long, the oldest first; undefined if none is due. */
  choose<Job extends { run: JobRun }>(byWait: readonly Job[]): Job | undefined {
    // A job whose turn it is and that fits nowhere must not keep the others waiting.
    const isNextDue = this.#jobsSince >= LONG_WAIT_INTERVAL - 1;
    return isNextDue ? byWait[0] : byWait.find(({ run }) => this.isTurnOf(run));
  }

  /**
   * Records that tasks of a job were assigned in its turn.
   *
   * @param waiting Number of its tasks that waited before.
   * @param size Number of tasks of its ready steps.
   * @param isDue Whether it was its turn because it has waited long.
   */
  onAssigned(
    run: JobRun,
    { assigned, size, waiting }: { assigned: number; size: number; waiting: number },
    isDue: boolean,
  ): void {
    if (!isDue) {
      this.#jobsSince += assigned / Math.min(size, MAX_TURN_TASKS);
      return;
    }
    const before = this.#due?.run === run ? this.#due.tasksLeft : Math.min(waiting, MAX_TURN_TASKS);
    const tasksLeft = before - assigned;
    this.#due = tasksLeft > 0 ? { run, tasksLeft } : undefined;
    this.#jobsSince = 0;
  }
}
