import type { Demand } from './demand';
import type { JobRun } from './job-run';
import type { AllowedWorkers, Misfit } from './placement';
import type { PoolState } from './pool-state';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';
import type { CLOSURE } from './worker-closure';
import type { MaximumObstacle } from './workspace-maximum';
import type { WorkspaceWeights } from './workspace-weights';
import { findMisfit } from './placement';
import { computePoolUse } from './pool-use';
import { awaitsProof, isHeld, isIsolating, isStartingTasks } from './worker-crash';
import { WorkspaceShares } from './workspace-shares';

/** Reasons why a task with room on an open worker is not assigned to it, as they appear in the log. */
export const HOLD = {
  /** The store is too slow for new assignments, or the leader has no configuration yet. */
  assignmentPaused: 'assignment-paused',
  /** The members of a gang start together, and not all of them fit. */
  gang: 'gang',
  /** A task that may crash workers starts alone on the worker. */
  isolated: 'isolated',
  /** A worker has just refused the order of the task as invalid. */
  invalid: 'order-invalid',
  /** Nothing prevents the assignment. */
  none: 'none',
  /** The assignment is due and has not been made yet. */
  planDue: 'plan-due',
  /** The task waits for a worker in the rack of its data or of its step. */
  rack: 'waits-for-rack',
  /** The task may crash workers and starts alone, but the worker starts others. */
  startsOthers: 'starts-others',
  /** The task may have crashed several workers, and it is not known whether their processes have ended. */
  unproven: 'crashes-unproven',
  /** The workspace of the task uses its maximum. */
  workspaceMaximum: 'workspace-maximum',
} as const;

/** Reason why a worker does not run a waiting task. */
export type WaitingReason =
  (typeof CLOSURE)[keyof typeof CLOSURE] | (typeof HOLD)[keyof typeof HOLD] | Misfit;

/** Why a worker does not run a waiting task. */
export interface WorkerObstacle {
  /** What a closed worker is emptied for, the number of its orphaned runs, or the rest of its pause in ms. */
  detail?: number | string;
  reason: WaitingReason;
  worker: string;
}

/** Tasks of a pool that wait although the pool has room for them, with the reasons of the longest-waiting one. */
export interface WaitingReport {
  /** Maximum of the task's workspace and its use, where the tasks wait for it; undefined for other tasks. */
  atMaximum?: MaximumObstacle;
  /** Number of workers of the pool by reason. */
  byReason: Partial<Record<WaitingReason, number>>;
  /** Number of tasks that wait so. */
  count: number;
  demand: Demand;
  /** Whether the job exceeds the rate of its workspace; undefined where no workspaces share the pool. */
  excess?: boolean;
  failures: number;
  /** Number of failed runs that the queue allows; undefined if the queue is not configured. */
  limit: number | undefined;
  pool: string;
  /** Number of the newest run; 0 before the first. */
  run: number;
  /** Dominant share of the task's workspace in the pool; undefined where no workspaces share the pool. */
  share?: number;
  task: string;
  waitedMs: number;
  /** Workers with room first, at most `MAX_NAMED_WORKERS`. */
  workers: WorkerObstacle[];
}

/** State of the assignment that explains why tasks wait. */
export interface AssignmentState {
  /** Returns the workers that may run a step according to the last advice. */
  allowedWorkers: (step: StepRun) => AllowedWorkers;
  /** Whether no tasks are assigned: the store is slow, or there is no configuration yet. */
  isPaused: boolean;
  maxAttempts: (run: JobRun) => number | undefined;
  /** Returns why the maximum of its workspace holds a step back; undefined if it does not. */
  maximumObstacle: (step: StepRun) => MaximumObstacle | undefined;
  /** Whether a task waits for a worker in the rack of its data or of its step. */
  waitsForRack: (task: Task) => boolean;
  /** Weights of the workspaces in the configuration; undefined if it has none. */
  weights: WorkspaceWeights | undefined;
}

/** Time for which a task waits before it is reported, in ms. */
export const WAITING_REPORT_AFTER_MS = 2000;

/** Most workers that a report names. */
const MAX_NAMED_WORKERS = 10;

/** Share of the reserved processor time below which a pool counts as having room, whatever its single workers have. */
const MOSTLY_FREE_SHARE = 0.5;

/** Tasks of a step that have waited long. */
interface LongWaitingTasks {
  atMaximum?: MaximumObstacle;
  count: number;
  /** The task that has waited longest. */
  task: Task;
  waitedMs: number;
}

/** Finds tasks that wait although their pool has room for them, and explains why they wait. */
export class WaitingTasks {
  #readySince = new Map<StepRun, number>();

  /**
   * Returns a report for each pool with such tasks at a monotonic time in ms. Tasks that wait for the maximum of their
   * workspace have one of their own.
   */
  report(pools: ReadonlyMap<string, PoolState>, state: AssignmentState, now: number): WaitingReport[] {
    const reports: WaitingReport[] = [];
    const readySince = new Map<StepRun, number>();
    for (const [name, pool] of pools) {
      const waiting = this.#findReported(name, pool, state, readySince, now);
      const others = waiting.filter(({ atMaximum }) => atMaximum === undefined);
      const held = waiting.filter(({ atMaximum }) => atMaximum !== undefined);
      for (const group of [others, held]) {
        const longest = group.toSorted((a, b) => b.waitedMs - a.waitedMs)[0];
        if (longest !== undefined) {
          const count = group.reduce((sum, step) => sum + step.count, 0);
          reports.push({ ...describe(longest, pool, state, now), count, pool: name });
        }
      }
    }
    this.#readySince = readySince;
    return reports;
  }

  // A gang that is too large for its maximum never starts, whatever room there is.
  #findReported(
    name: string,
    pool: PoolState,
    state: AssignmentState,
    readySince: Map<StepRun, number>,
    now: number,
  ): LongWaitingTasks[] {
    const isFree = isMostlyFree(name, pool);
    const found: LongWaitingTasks[] = [];
    for (const step of [...pool.jobs].flatMap((run) => run.readySteps())) {
      const since = this.#readySince.get(step) ?? now;
      readySince.set(step, since);
      const waiting = now - since > WAITING_REPORT_AFTER_MS ? findLongWaiting(step, since, now) : undefined;
      if (waiting === undefined) {
        continue;
      }
      const atMaximum = state.maximumObstacle(step);
      if (isFree || atMaximum?.isGangTooLarge === true || hasRoom(waiting.task, pool)) {
        found.push(atMaximum === undefined ? waiting : { ...waiting, atMaximum });
      }
    }
    return found;
  }
}

// Tasks that have not been created have waited since the step became ready.
function findLongWaiting(step: StepRun, readySince: number, now: number): LongWaitingTasks | undefined {
  step.firstWaitingTask();
  const waiting = step
    .createdWaitingTasks()
    .map((task) => ({ task, waitedMs: now - Math.max(readySince, task.phaseSince) }))
    .filter(({ waitedMs }) => waitedMs > WAITING_REPORT_AFTER_MS)
    .sort((a, b) => b.waitedMs - a.waitedMs);
  const [longest] = waiting;
  return longest && { ...longest, count: waiting.length + step.uncreatedCount };
}

function isMostlyFree(name: string, pool: PoolState): boolean {
  const { heldCpuMilli, reservedCpuMilli } = computePoolUse(name, pool);
  return heldCpuMilli > 0 && reservedCpuMilli < MOSTLY_FREE_SHARE * heldCpuMilli;
}

// Also on workers that are closed: the reason why they are is what the report is about.
function hasRoom(task: Task, pool: PoolState): boolean {
  for (const worker of pool.workers) {
    if (!worker.isDeregistered && findMisfit(task, worker, undefined) === undefined) {
      return true;
    }
  }
  return false;
}

function describe(
  { atMaximum, task, waitedMs }: LongWaitingTasks,
  pool: PoolState,
  state: AssignmentState,
  now: number,
): Omit<WaitingReport, 'count' | 'pool'> {
  const workers = [...pool.workers]
    .map((worker) => findObstacle(task, worker, pool, state, now))
    .sort((a, b) => Number(isMisfit(a)) - Number(isMisfit(b)));
  const byReason: Partial<Record<WaitingReason, number>> = {};
  for (const { reason } of workers) {
    byReason[reason] = (byReason[reason] ?? 0) + 1;
  }
  return {
    ...(atMaximum === undefined ? {} : { atMaximum }),
    byReason,
    demand: task.step.spec.demand,
    ...describeShare(task, pool, state.weights),
    failures: task.failures,
    limit: state.maxAttempts(task.job),
    run: task.run,
    task: task.name,
    waitedMs: Math.round(waitedMs),
    workers: workers.slice(0, MAX_NAMED_WORKERS),
  };
}

function describeShare(
  { job }: Task,
  pool: PoolState,
  weights: WorkspaceWeights | undefined,
): Pick<WaitingReport, 'excess' | 'share'> {
  const { workspace } = job.job;
  return workspace === undefined || weights === undefined
    ? {}
    : { excess: job.isExcess, share: new WorkspaceShares(pool, weights).shareOf(workspace) };
}

function isMisfit({ reason }: WorkerObstacle): boolean {
  return reason.startsWith('no-');
}

function findObstacle(
  task: Task,
  worker: Worker,
  pool: PoolState,
  state: AssignmentState,
  now: number,
): WorkerObstacle {
  const { id } = worker.info;
  const misfit = findMisfit(task, worker, undefined);
  const closure = worker.closure(now);
  if (closure !== undefined && misfit === undefined) {
    return { ...closure, worker: id };
  }
  const reason = misfit ?? findMisfit(task, worker, state.allowedWorkers(task.step));
  return { reason: reason ?? findHold(task, worker, pool, state, now), worker: id };
}

function findHold(
  task: Task,
  worker: Worker,
  pool: PoolState,
  state: AssignmentState,
  now: number,
): WaitingReason {
  if (state.isPaused) {
    return HOLD.assignmentPaused;
  }
  if (state.maximumObstacle(task.step) !== undefined) {
    return HOLD.workspaceMaximum;
  }
  if (pool.needsAssignment) {
    return HOLD.planDue;
  }
  if (task.step.createdWaitingTasks().some(({ startsNotBefore }) => startsNotBefore > now)) {
    return HOLD.invalid;
  }
  if (awaitsProof(task)) {
    return HOLD.unproven;
  }
  if (task.isSuspected) {
    return isStartingTasks(worker, now) ? HOLD.startsOthers : HOLD.isolated;
  }
  if (isIsolated(worker, now)) {
    return HOLD.isolated;
  }
  if (worker.closure(pool.assignedAt) !== undefined || isIsolated(worker, pool.assignedAt)) {
    return HOLD.planDue;
  }
  if (state.waitsForRack(task)) {
    return HOLD.rack;
  }
  return task.step.spec.gang ? HOLD.gang : HOLD.none;
}

function isIsolated(worker: Worker, at: number): boolean {
  return isHeld(worker, at) || isIsolating(worker, at);
}
