import type { Task } from './task';
import type { Worker } from './worker';

/** Order to let a run use a share of its processor time. */
export interface PaceOrder {
  percent: number;
  run: number;
  task: string;
  worker: Worker;
}

/** Tail of a serving task, as a share of its target, above which what fills beside it stops. */
const OVER = 1;

/** Share of the target above which what fills beside it is slowed. */
const NEAR = 0.8;

/** Share of the target below which what fills beside it may work more. */
const CALM = 0.6;

const SLOWED = 0.5;
const RAISED_PERCENT = 15;
const FULL_PERCENT = 100;

/**
 * New shares for the tasks that fill idle time on a worker, so that the tasks beside them that serve users
 * keep their targets: they are cut at once and raised step by step.
 */
export function paceFillers(worker: Worker): PaceOrder[] {
  const tasks = [...worker.runs.values()].filter((task) => task.phase === 'running');
  const serving = tasks.filter((task) => task.step.spec.tailTargetMs > 0);
  const worst = Math.max(0, ...serving.map((task) => task.load / task.step.spec.tailTargetMs));
  const orders: PaceOrder[] = [];
  for (const task of tasks.filter((item) => item.step.spec.fillsIdle)) {
    const percent = nextPercent(task, worst);
    if (percent !== task.pacePercent) {
      task.pacePercent = percent;
      orders.push({ percent, run: task.run, task: task.name, worker });
    }
  }
  return orders;
}

function nextPercent(task: Task, worst: number): number {
  if (worst > OVER) {
    return 0;
  }
  if (worst > NEAR) {
    return Math.floor(task.pacePercent * SLOWED);
  }
  return worst < CALM ? Math.min(FULL_PERCENT, task.pacePercent + RAISED_PERCENT) : task.pacePercent;
}
