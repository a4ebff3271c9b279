import type { Demand } from './demand';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';

/** Score adjustments for placing a task on a worker, in thousandths of a free core. */
const SCORE = {
  /** The last failed run of the task was on the worker. */
  lastFailedWorker: -1_000_000,
  /** Per task: a best-effort task and a task that serves users would share the worker. */
  interference: -200_000,
  /** A long-running task keeps the worker in use anyway, so the VMs of other workers can become free. */
  hasLongRunningTask: 50_000,
  /** The worker is in the rack of the data, or in the rack of other tasks of a rack-sensitive step. */
  rackAffinity: 100_000,
  /** Per task above the share: the rack has more than its share of a long-running step. */
  rackOverShare: -300_000,
  /** Per task above the share: the worker has more than its share of a long-running step. */
  workerOverShare: -300_000,
} as const;

/**
 * Number of workers, and of racks, over which the tasks of a long-running step are spread. The loss of one
 * takes at most that part of the step, while few VMs are kept in use.
 */
const LONG_RUNNING_SPREAD = 3;

/** Ids of the workers that may run a step; undefined if every worker may. */
export type AllowedWorkers = ReadonlySet<string> | undefined;

/** Reasons why a task can't be placed on a worker to which tasks can be assigned, as they appear in the log. */
export const MISFIT = {
  label: 'no-label',
  limitPerWorker: 'limit-per-worker',
  noAccelerators: 'no-room-accelerators',
  noCpu: 'no-room-cpu',
  noMemory: 'no-room-memory',
  noPermit: 'no-permit',
} as const;

/** Reason why a task can't be placed on a worker. */
export type Misfit = (typeof MISFIT)[keyof typeof MISFIT];

const MISFIT_BY_RESOURCE: Readonly<Record<keyof Demand, Misfit>> = {
  cpuMilli: MISFIT.noCpu,
  gpus: MISFIT.noAccelerators,
  memoryMb: MISFIT.noMemory,
};

/** Returns the worker with the highest score for a task; undefined if none is eligible. */
export function chooseWorker(
  task: Task,
  workers: Iterable<Worker>,
  allowed: AllowedWorkers,
): Worker | undefined {
  let best: Worker | undefined;
  let bestScore = -Infinity;
  for (const worker of workers) {
    if (findMisfit(task, worker, allowed) !== undefined) {
      continue;
    }
    const score = scoreWorker(task, worker);
    if (score > bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

/** Returns a worker for each task of a gang; undefined if they cannot all be placed at the same time. */
export function chooseWorkersForGang(
  step: StepRun,
  workers: readonly Worker[],
  allowed: AllowedWorkers,
): Map<Task, Worker> | undefined {
  const chosen = new Map<Task, Worker>();
  for (const task of step.waitingTasks()) {
    const worker = chooseWorker(task, workers, allowed);
    if (worker === undefined) {
      break;
    }
    worker.attach(task);
    chosen.set(task, worker);
  }
  for (const [task, worker] of chosen) {
    worker.detach(task);
  }
  return chosen.size === step.spec.count ? chosen : undefined;
}

/** Returns why a task can't be placed on a worker; undefined if it can. */
export function findMisfit(task: Task, worker: Worker, allowed: AllowedWorkers): Misfit | undefined {
  const { maxPerWorker, requiredLabel } = task.step.spec;
  const missing = worker.missingResource(task);
  if (missing !== undefined) {
    return MISFIT_BY_RESOURCE[missing];
  }
  if (allowed?.has(worker.info.id) === false) {
    return MISFIT.noPermit;
  }
  if (requiredLabel !== '' && !worker.info.labels.includes(requiredLabel)) {
    return MISFIT.label;
  }
  return maxPerWorker > 0 && worker.countOf(task.step) >= maxPerWorker ? MISFIT.limitPerWorker : undefined;
}

function scoreWorker(task: Task, worker: Worker): number {
  const { fillsIdle, longRunning, preferredRack, rackSensitive, tailTargetMs } = task.step.spec;
  let score = -worker.freeCpuMilli;
  if (task.lastFailedWorkerId === worker.info.id) {
    score += SCORE.lastFailedWorker;
  }
  if (preferredRack !== '' && worker.info.labels.includes(preferredRack)) {
    score += SCORE.rackAffinity;
  }
  if (worker.longRunningCount > 0) {
    score += SCORE.hasLongRunningTask;
  }
  if (rackSensitive) {
    score += Math.min(task.step.countInRack(worker.info.rack), 1) * SCORE.rackAffinity;
  } else if (longRunning) {
    score += scoreSpread(task, worker);
  }
  if (fillsIdle || tailTargetMs > 0) {
    score += countInterferingTasks(task, worker) * SCORE.interference;
  }
  return score;
}

// Limits the part of a long-running step that the loss of the worker or of its rack would take.
function scoreSpread(task: Task, worker: Worker): number {
  const share = Math.ceil(task.step.spec.count / LONG_RUNNING_SPREAD);
  const overOnWorker = Math.max(0, worker.countOf(task.step) + 1 - share);
  const overInRack = Math.max(0, task.step.countInRack(worker.info.rack) + 1 - share);
  return overOnWorker * SCORE.workerOverShare + overInRack * SCORE.rackOverShare;
}

function countInterferingTasks(task: Task, worker: Worker): number {
  return task.step.spec.fillsIdle ? worker.servingCount : worker.bestEffortCount;
}
