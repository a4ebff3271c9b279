import type { Task } from './task';
import type { Worker } from './worker';

/** Crash of a worker's process, and the tasks that may have caused it. */
export interface WorkerCrash {
  /** Whether the worker was starting the only suspect and no other task. */
  isAlone: boolean;
  /** Whether the only suspect has certainly caused the crash. */
  isCertain: boolean;
  suspects: Task[];
}

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

/** Whether a worker starts no tasks at a monotonic time in ms, so that a suspected task can start there alone. */
export function isHeld({ heldFor, heldUntil }: Worker, at: number): boolean {
  return heldUntil > at && heldFor?.phase === 'waiting' && !heldFor.job.hasEnded;
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
 * suspected already. Returns undefined if its process has not been seen to end; a worker that only stops
 * answering has lost its power or its network.
 *
 * @param disconnected Workers whose connections were closed lately.
 */
export function findCrash(worker: Worker, disconnected: Iterable<Worker>): WorkerCrash | undefined {
  const { disconnection } = worker;
  if (disconnection === undefined) {
    return undefined;
  }
  const runs = [...worker.runs.values()];
  const started = runs.filter((task) => isStartingUp(task, disconnection.at));
  const suspects = started.length > 0 ? started : runs.filter((task) => task.crashes.suspected > 0);
  const isCertain =
    suspects.length === 1 &&
    suspects.every((task) => started.includes(task) || isOfUnknownAge(task)) &&
    !isPartOfOutage(worker, disconnected);
  return { isAlone: started.length === 1, isCertain, suspects };
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
