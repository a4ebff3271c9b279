import type { Task } from '../jobs/task';

/**
 * Whether the scheduler may interrupt a task: fewer than `mayMiss` other tasks of its step are unavailable.
 * A task counts as unavailable until its worker reports it as running. A `mayMiss` of 0 sets no limit.
 */
export function canDisrupt(task: Task, now: number): boolean {
  const { runningCount, spec } = task.step;
  if (spec.mayMiss === 0) {
    return true;
  }
  const otherCount = spec.count - 1;
  if (otherCount - runningCount >= spec.mayMiss) {
    return false;
  }
  const active = [...task.step.tasks()].filter((other) => other !== task && other.isReportedActive(now));
  return otherCount - active.length < spec.mayMiss;
}
