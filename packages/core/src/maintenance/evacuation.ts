import type { Task } from '../jobs/task';
import type { Worker } from '../jobs/worker';
import { canBeMissed } from './availability';

/** Time for which an evacuated worker may finish runs that save no checkpoints, in ms. */
const PATIENCE_MS = 3000;

/** Runs of a worker that is being emptied which are to go on elsewhere now. */
export function tasksToMove(worker: Worker, emptyingForMs: number, now: number): Task[] {
  const chosen: Task[] = [];
  const stepsMoved = new Set<unknown>();
  for (const task of worker.runs.values()) {
    if (task.phase !== 'running' || !shouldMove(task, emptyingForMs, now)) {
      continue;
    }
    // The next task of a step goes once this one is at work again.
    if (task.step.spec.mayMiss === 0 || !stepsMoved.has(task.step)) {
      chosen.push(task);
      stepsMoved.add(task.step);
    }
  }
  return chosen;
}

function shouldMove(task: Task, emptyingForMs: number, now: number): boolean {
  const { checkpointable, longRunning } = task.step.spec;
  if (longRunning) {
    return canBeMissed(task, now);
  }
  return checkpointable || emptyingForMs > PATIENCE_MS;
}
