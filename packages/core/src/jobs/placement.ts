import type { StepRun } from './job-run';
import type { Task } from './task';
import type { Worker } from './worker';

/** Weights of what speaks for or against a worker, in thousandths of a free core. */
const WEIGHT = {
  /** The task failed there last. */
  failedThere: -1_000_000,
  /** A task that fills idle time and one that serves users would share the worker. */
  mixed: -200_000,
  /** Tasks that last keep the worker in use anyway; the VMs of others may become free. */
  keptInUse: 50_000,
  /** The worker is in the rack of the data, or of the rest of the step. */
  nearRack: 100_000,
  /** Another task of the same lasting step is in the rack. */
  sharedRack: -50_000,
} as const;

/** Workers that may run a step; undefined where every worker may. */
export type AllowedWorkers = ReadonlySet<string> | undefined;

/** The best worker for a task; undefined when none has room. */
export function chooseWorker(
  task: Task,
  workers: Iterable<Worker>,
  allowed: AllowedWorkers,
): Worker | undefined {
  let best: Worker | undefined;
  let bestScore = -Infinity;
  for (const worker of workers) {
    if (!isEligible(task, worker, allowed)) {
      continue;
    }
    const score = scoreOf(task, worker);
    if (score > bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

/** A worker for each waiting task of a gang; undefined when not all have room at once. */
export function chooseForGang(
  step: StepRun,
  workers: readonly Worker[],
  allowed: AllowedWorkers,
): Map<Task, Worker> | undefined {
  const chosen = new Map<Task, Worker>();
  for (const task of step.tasks) {
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
  return chosen.size === step.tasks.length ? chosen : undefined;
}

function isEligible(task: Task, worker: Worker, allowed: AllowedWorkers): boolean {
  const { maxPerWorker, requiredLabel } = task.step.spec;
  return (
    worker.fits(task) &&
    (allowed === undefined || allowed.has(worker.info.id)) &&
    (requiredLabel === '' || worker.info.labels.includes(requiredLabel)) &&
    (maxPerWorker === 0 || siblingsOn(task, worker) < maxPerWorker)
  );
}

function scoreOf(task: Task, worker: Worker): number {
  const { fillsIdle, longRunning, preferredRack, rackSensitive, tailTargetMs } = task.step.spec;
  let score = longRunning ? worker.freeCpuMilli : -worker.freeCpuMilli;
  if (task.lastFailedOn === worker.info.id) {
    score += WEIGHT.failedThere;
  }
  if (preferredRack !== '' && worker.info.labels.includes(preferredRack)) {
    score += WEIGHT.nearRack;
  }
  if (!longRunning && hasLastingTask(worker)) {
    score += WEIGHT.keptInUse;
  }
  if (rackSensitive || longRunning) {
    const inRack = siblingsInRack(task, worker);
    score += rackSensitive ? Math.min(inRack, 1) * WEIGHT.nearRack : inRack * WEIGHT.sharedRack;
  }
  if (fillsIdle || tailTargetMs > 0) {
    score += opponentsOn(task, worker) * WEIGHT.mixed;
  }
  return score;
}

function hasLastingTask(worker: Worker): boolean {
  for (const other of worker.runs.values()) {
    if (other.step.spec.longRunning) {
      return true;
    }
  }
  return false;
}

function siblingsOn(task: Task, worker: Worker): number {
  let count = 0;
  for (const other of worker.runs.values()) {
    count += Number(other.step === task.step);
  }
  return count;
}

function siblingsInRack(task: Task, worker: Worker): number {
  return task.step.tasks.filter((other) => other.worker?.info.rack === worker.info.rack).length;
}

function opponentsOn(task: Task, worker: Worker): number {
  let count = 0;
  for (const other of worker.runs.values()) {
    const { fillsIdle, tailTargetMs } = other.step.spec;
    count += Number(task.step.spec.fillsIdle ? tailTargetMs > 0 : fillsIdle);
  }
  return count;
}
