import type { Task } from './task';
import type { Worker } from './worker';

/** Apparent crash of a worker's process, and the tasks that may have caused it. */
export interface WorkerCrash {
  /** Whether the worker was starting the only suspect and no other task, and no order for its VM was open. */
  isAlone: boolean;
  /** Whether the only suspect is certainly the cause, if the process has ended. */
  isCertain: boolean;
  suspects: Task[];
}

/**
 * Number of crashes under a task, proven or not, after which it starts again only once all are proven or disproved:
 * proof may be late, and a task that crashes its workers must not start without limit until then.
 */
const MAX_UNPROVEN_CRASHES = 5;

/** Time after its start within which a run that crashes its worker does so, in ms. */
const START_CRASH_WINDOW_MS = 150;

/** Time within which workers of an availability zone that are lost together count as one outage, in ms. */
const OUTAGE_WINDOW_MS = 500;

/** Whether a task is being started at a monotonic time in ms, or has just been started. */
export function isStartingUp(task: Task, at: number): boolean {
  switch (task.phase) {
    case 'running':
    case 'stopping':
      return at - task.runningSince <= START_CRASH_WINDOW_MS;
    case 'starting':
      return true;
    case 'unconfirmed':
      return !task.isRestored;
    default:
      return false;
  }
}

/** Whether a task starts no more until suspicions of it are proven or disproved. */
export function awaitsProof({ crashes, suspicions }: Task): boolean {
  const open = suspicions.filter(({ isDoubted }) => !isDoubted).length;
  return open > 0 && crashes.suspected + open >= MAX_UNPROVEN_CRASHES;
}

/** Whether a worker starts no tasks at a monotonic time in ms, so that a suspected task can start there alone. */
export function isHeld({ heldFor, heldUntil }: Worker, at: number): boolean {
  return heldUntil > at && heldFor?.phase === 'waiting' && heldFor.isSuspected && !heldFor.job.hasEnded;
}

/** Whether a suspected task is being started on a worker, so that no other task may start there. */
export function isIsolating(worker: Worker, at: number): boolean {
  const { isolatedTask } = worker;
  return isolatedTask?.worker === worker && isStartingUp(isolatedTask, at);
}

/** Whether any task is being started on a worker. */
export function isStartingTasks(worker: Worker, at: number): boolean {
  return [...worker.runs.values()].some((task) => isStartingUp(task, at));
}

/**
 * Finds the tasks that may have crashed a worker: those that it had just started; without any, those that are
 * suspected already. Returns undefined if its connections were not closed; a worker that only stops answering has lost
 * its power or its network. Closed connections alone do not prove that the process has ended.
 *
 * @param disconnected Workers whose connections were closed lately.
 */
export function findCrash(worker: Worker, disconnected: Iterable<Worker>): WorkerCrash | undefined {
  const { disconnection } = worker;
  if (disconnection === undefined) {
    return undefined;
  }
  const runs = [...worker.runs.values()];
  const started = runs.filter((task) => mayHaveStarted(task, disconnection.at));
  const suspects = started.length > 0 ? started : runs.filter((task) => task.isSuspected);
  const isOrdered = isVmOrdered(worker, disconnection.at);
  const isCertain =
    !isOrdered &&
    suspects.length === 1 &&
    suspects.every((task) => wasJustConfirmed(task, disconnection.at) || isOfUnknownAge(task)) &&
    !isPartOfOutage(worker, disconnected);
  return { isAlone: !isOrdered && started.length === 1, isCertain, suspects };
}

// The process may have ended because an order of the leader, which may be carried out late, took its VM.
function isVmOrdered(worker: Worker, at: number): boolean {
  return worker.isAtRisk(at) || worker.vmClaim(at) !== undefined;
}

// An order that has not been sent cannot have started the task.
function mayHaveStarted(task: Task, at: number): boolean {
  return isStartingUp(task, at) && (task.phase !== 'starting' || task.isOrderSent);
}

// Without an answer to its order, the task was perhaps never under the worker.
function wasJustConfirmed({ runningSince }: Task, at: number): boolean {
  return at - runningSince <= START_CRASH_WINDOW_MS;
}

// A run of an earlier term that no report has listed since.
function isOfUnknownAge(task: Task): boolean {
  return task.isRestored && task.phase === 'unconfirmed';
}

// The loss of a rack or of a zone also takes workers that start nothing at that moment.
function isPartOfOutage(worker: Worker, disconnected: Iterable<Worker>): boolean {
  for (const other of disconnected) {
    const isNeighbour = other !== worker && other.info.zone === worker.info.zone;
    const apartMs = Math.abs((other.disconnection?.at ?? Infinity) - (worker.disconnection?.at ?? 0));
    if (isNeighbour && apartMs <= OUTAGE_WINDOW_MS && other.disconnection?.wasStarting === false) {
      return true;
    }
  }
  return false;
}
