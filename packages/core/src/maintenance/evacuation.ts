import type { Task } from '../jobs/task';
import type { Worker } from '../jobs/worker';
import { canDisrupt } from './disruption-budget';

/** Time for which runs without checkpoints may continue on a worker that is being evacuated, in ms. */
const NON_CHECKPOINTABLE_GRACE_MS = 3000;

/** Selects the runs to move away now from a worker that has been evacuating for a time in ms. */
export function selectTasksToMove(worker: Worker, evacuatingForMs: number, now: number): Task[] {
  const chosen: Task[] = [];
  const movedSteps = new Set<unknown>();
  for (const task of worker.runs.values()) {
    if (task.phase !== 'running' || !shouldMove(task, evacuatingForMs, now)) {
      continue;
    }
    // A step that limits its unavailable tasks moves one task at a time: the next one moves once this one
    // is running again.
    if (task.step.spec.mayMiss === 0 || !movedSteps.has(task.step)) {
      chosen.push(task);
      movedSteps.add(task.step);
    }
  }
  return chosen;
}

function shouldMove(task: Task, evacuatingForMs: number, now: number): boolean {
  const { checkpointable, longRunning } = task.step.spec;
  if (longRunning) {
    return canDisrupt(task, now);
  }
  return checkpointable || evacuatingForMs > NON_CHECKPOINTABLE_GRACE_MS;
}
