import type { Task } from './task';
import type { Resources } from './task-spec';

/** Weight of a new, lower report against the estimate; a higher report replaces it at once. */
const DECAY = 0.2;

/** Demand of each job's tasks, learned from usage reports; accelerators stay as declared. */
export class DemandEstimates {
  readonly #learned = new Map<string, Resources>();

  /** Takes a usage report of a running task. */
  observe(task: Task, usage: Resources): void {
    const slot = slotOf(task);
    const known = this.#learned.get(slot);
    this.#learned.set(slot, known === undefined ? usage : blend(known, usage));
  }

  /** Expected demand of a task that is to start. */
  expect(task: Task): Resources {
    const learned = this.#learned.get(slotOf(task));
    return learned === undefined ? task.demand : { ...learned, accelerators: task.demand.accelerators };
  }
}

function blend(known: Resources, usage: Resources): Resources {
  return {
    accelerators: known.accelerators,
    memoryMb: towards(known.memoryMb, usage.memoryMb),
    processors: towards(known.processors, usage.processors),
  };
}

function towards(known: number, usage: number): number {
  return usage >= known ? usage : known + DECAY * (usage - known);
}

function slotOf(task: Task): string {
  return `${task.pool}/${task.job}`;
}
