import type { Task } from './task';
import type { Worker } from './worker';

/** Order that limits a run to a percentage of its processor time. */
export interface ThrottleOrder {
  percent: number;
  run: number;
  task: string;
  worker: Worker;
}

/**
 * Ratio of a serving task's tail latency to its target above which best-effort tasks on the same worker are
 * stopped.
 */
const STOP_ABOVE = 1;

/** Ratio to the target above which best-effort tasks on the same worker are slowed down. */
const REDUCE_ABOVE = 0.8;

/** Ratio to the target below which best-effort tasks on the same worker get more processor time. */
const RAISE_BELOW = 0.6;

const REDUCTION_FACTOR = 0.5;
const RAISE_STEP_PERCENT = 15;
const FULL_PERCENT = 100;

/**
 * Adjusts the processor share of the best-effort tasks on a worker, so that the tasks on it that serve users
 * meet their tail latency targets. Shares are cut multiplicatively and raised in fixed steps. Returns the
 * orders for the tasks whose share changes.
 */
export function throttleBestEffortTasks(worker: Worker): ThrottleOrder[] {
  const running = [...worker.runs.values()].filter((task) => task.phase === 'running');
  const serving = running.filter((task) => task.step.spec.tailTargetMs > 0);
  const worstRatio = Math.max(0, ...serving.map((task) => task.load / task.step.spec.tailTargetMs));
  const orders: ThrottleOrder[] = [];
  for (const task of running.filter((item) => item.step.spec.fillsIdle)) {
    const percent = nextPercent(task, worstRatio);
    if (percent !== task.cpuSharePercent) {
      task.cpuSharePercent = percent;
      orders.push({ percent, run: task.run, task: task.name, worker });
    }
  }
  return orders;
}

function nextPercent(task: Task, worstRatio: number): number {
  if (worstRatio > STOP_ABOVE) {
    return 0;
  }
  if (worstRatio > REDUCE_ABOVE) {
    return Math.floor(task.cpuSharePercent * REDUCTION_FACTOR);
  }
  return worstRatio < RAISE_BELOW
    ? Math.min(FULL_PERCENT, task.cpuSharePercent + RAISE_STEP_PERCENT)
    : task.cpuSharePercent;
}
