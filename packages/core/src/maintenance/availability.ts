import type { Task } from '../jobs/task';

/**
 * Whether an order of ours may take a task from its work: fewer other tasks of its step are away than the
 * step can miss. A task counts as away until its worker has reported it at work.
 */
export function canBeMissed(task: Task, now: number): boolean {
  const { mayMiss } = task.step.spec;
  if (mayMiss === 0) {
    return true;
  }
  const away = task.step.tasks.filter((other) => other !== task && !other.isReportedActive(now));
  return away.length < mayMiss;
}
