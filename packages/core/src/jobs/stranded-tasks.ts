import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';
import { FreeCapacity } from './free-capacity';
import { findMisfit } from './placement';

/** Waiting tasks of a step that no worker of a pool has room for. */
export interface StrandedTasks {
  /** Number of tasks; of a gang, the members that remain when the others are placed. */
  count: number;
  /** Monotonic time since which they have been found without room, in ms. */
  since: number;
  step: StepRun;
}

/** Finds the waiting tasks that fit on none of several workers. */
export class StrandedTaskFinder {
  readonly #free: FreeCapacity;

  constructor(
    private readonly workers: readonly Worker[],
    private readonly now: number,
  ) {
    this.#free = new FreeCapacity(workers);
  }

  /** Returns the stranded ones of the waiting tasks of a ready step that may start; undefined if it has none. */
  find(step: StepRun, startable = step.waitingCount): StrandedTasks | undefined {
    const count = startable === 0 ? 0 : this.#count(step, startable);
    if (count === 0) {
      step.strandedSince = undefined;
      return undefined;
    }
    const since = step.strandedSince ?? this.now;
    step.strandedSince = since;
    return { count, since, step };
  }

  #count(step: StepRun, startable: number): number {
    return step.spec.gang ? this.#countStrandedMembers(step) : this.#countStranded(step, startable);
  }

  // All tasks of a step have the same demand and constraints.
  #countStranded(step: StepRun, startable: number): number {
    const task = step.firstWaitingTask();
    if (task === undefined) {
      return 0;
    }
    const hasRoom =
      this.#free.mayFit(step.spec) &&
      this.workers.some((worker) => findMisfit(task, worker, undefined) === undefined);
    return hasRoom ? 0 : startable;
  }

  // A gang starts only when all its members wait.
  #countStrandedMembers(step: StepRun): number {
    const { spec, waitingCount } = step;
    if (waitingCount < spec.count) {
      return 0;
    }
    return this.#free.mayFit(spec) ? spec.count - this.#countPlaceable(step) : spec.count;
  }

  #countPlaceable(step: StepRun): number {
    const placed: [Task, Worker][] = [];
    const tasks = step.waitingTasks();
    let task = tasks.next().value;
    for (const worker of this.workers) {
      while (task !== undefined && findMisfit(task, worker, undefined) === undefined) {
        worker.attach(task);
        placed.push([task, worker]);
        task = tasks.next().value;
      }
    }
    for (const [task, worker] of placed) {
      worker.detach(task);
    }
    return placed.length;
  }
}
