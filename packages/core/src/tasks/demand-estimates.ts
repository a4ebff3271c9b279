import type { Task } from './task';
import type { Resources } from './task-spec';

/** Weight of a new report that is below the estimate; a higher report replaces the estimate at once. */
const SMOOTHING_FACTOR = 0.2;

/** Estimates the resource demand of each job's tasks from usage reports; accelerators are used as declared. */
export class DemandEstimates {
  readonly #estimates = new Map<string, Resources>();

  /** Records a usage report of a running task. */
  observe(task: Task, usage: Resources): void {
    const jobKey = jobKeyOf(task);
    const estimate = this.#estimates.get(jobKey);
    this.#estimates.set(jobKey, estimate === undefined ? usage : mergeUsage(estimate, usage));
  }

  /** Returns the expected demand of a task: the estimate for its job, or the declared demand without reports. */
  expectedDemand(task: Task): Resources {
    const estimate = this.#estimates.get(jobKeyOf(task));
    return estimate === undefined ? task.demand : { ...estimate, accelerators: task.demand.accelerators };
  }
}

function mergeUsage(estimate: Resources, usage: Resources): Resources {
  return {
    accelerators: estimate.accelerators,
    memoryMb: smooth(estimate.memoryMb, usage.memoryMb),
    processors: smooth(estimate.processors, usage.processors),
  };
}

function smooth(estimate: number, usage: number): number {
  return usage >= estimate ? usage : estimate + SMOOTHING_FACTOR * (usage - estimate);
}

function jobKeyOf(task: Task): string {
  return `${task.pool}/${task.job}`;
}
