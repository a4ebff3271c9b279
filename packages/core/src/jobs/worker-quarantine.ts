import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import { DECISION } from './scheduler-output';

/** Number of jobs of which runs must fail before the worker counts as the cause: a single job may fail anywhere. */
const MIN_FAILED_JOBS = 2;

/**
 * Quarantines workers on which runs fail one after the other, or stall. At least half of the usable workers of a kind
 * are left in a pool: once there are as many without work, a worker only pauses like one that refused an order, so that
 * tasks never wait for the end of a quarantine.
 */
export class WorkerQuarantine {
  constructor(private readonly ctx: SchedulerContext) {}

  /** Records that a run on a worker is done, which ends its row of failures. */
  onDone(worker: Worker): void {
    worker.failuresInRow = 0;
    worker.failedJobs.clear();
  }

  /** Records that the run of a task failed on a worker, at a monotonic time in ms. */
  onFailure(worker: Worker, task: Task, now: number): void {
    worker.failuresInRow += 1;
    worker.failedJobs.add(task.job.job.id);
    const { failedJobs, failuresInRow } = worker;
    if (failuresInRow >= this.ctx.settings.setAsideAfter && failedJobs.size >= MIN_FAILED_JOBS) {
      this.#pause(worker, { failuresInRow, jobs: failedJobs.size }, now);
    }
  }

  /** Records that runs on a worker make no progress, at a monotonic time in ms. */
  onStalledRuns(worker: Worker, count: number, now: number): void {
    this.#pause(worker, { stalled: count }, now);
  }

  #pause(worker: Worker, cause: Readonly<Record<string, number>>, now: number): void {
    const { refusedPauseMs, setAsideMs } = this.ctx.settings;
    const pauseMs = this.#leavesEnough(worker, now) ? setAsideMs : refusedPauseMs;
    worker.pausedUntil = Math.max(worker.pausedUntil, now + pauseMs);
    this.ctx.log(DECISION.workerQuarantined, { ...cause, pauseMs, worker: worker.info.id });
  }

  #leavesEnough(worker: Worker, now: number): boolean {
    const pool = this.ctx.getOrCreatePool(worker.info.pool);
    const others = [...pool.workers].filter(
      (other) => other !== worker && other.isAssignable(Infinity) && canReplace(other, worker),
    );
    const openCount = others.filter((other) => other.isAssignable(now)).length;
    return openCount > others.length - openCount;
  }
}

// Whether the tasks that require what a worker has, apart from its rack, can also run on another one.
function canReplace(other: Worker, { info: { capacity, labels, rack } }: Worker): boolean {
  return (
    labels.every((label) => label === rack || other.info.labels.includes(label)) &&
    (capacity.gpus === 0 || other.info.capacity.gpus > 0)
  );
}
