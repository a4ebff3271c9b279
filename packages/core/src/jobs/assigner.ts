import type { Turn } from './fair-turns';
import type { JobPolicy } from './fleet-config';
import type { JobRun } from './job-run';
import type {
  NearChoice,
  NearPlacePass,
  NearPlaces,
  NearPlaceStep,
  RackStart,
  UsableWorkers,
} from './near-places';
import type { AllowedWorkers } from './placement';
import type { PoolState, WaitingJob } from './pool-state';
import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';
import { canDisrupt } from '../maintenance/disruption-budget';
import { FairTurns } from './fair-turns';
import { FreeCapacity } from './free-capacity';
import { IsolatedStarts } from './isolated-starts';
import { chooseWorker, chooseWorkersForGang } from './placement';
import { DECISION } from './scheduler-output';
import { awaitsProof } from './worker-crash';

/**
 * Returns the ids of the workers that may run a step of a job with placement advice. The set is empty while the advice
 * is not known.
 */
export type AdviceLookup = (policy: JobPolicy, step: StepRun, workers: readonly Worker[]) => AllowedWorkers;

/**
 * Time for which a task of a step that limits its unavailable tasks waits for another worker than one whose VM may be
 * taken without notice, in ms.
 */
const AT_RISK_DELAY_MS = 1500;

/**
 * Most tasks of a step whose orders to start are not answered. The orders of a wide step would otherwise delay those of
 * all other jobs.
 */
const MAX_STARTING_TASKS = 256;

/** Most tasks that are assigned at a time, in all pools: the leader keeps each of them in memory, and so does the next. */
const MAX_ASSIGNED_TASKS = 50_000;

/** Number of tasks that a step may have assigned in spite of that limit, so that no job waits for the end of others. */
const MIN_ASSIGNED_PER_STEP = 4;

/** Turn of a job where several workspaces share the pool. */
interface FairTurn {
  turn: Turn;
  turns: FairTurns;
}

/** What a start follows from beside the worker. */
interface StartReasons {
  /** Turn in which the task is assigned; undefined where no workspaces share the pool. */
  fair: FairTurn | undefined;
  /** Undefined for a task that is as fast on any worker. */
  rackStart?: RackStart | undefined;
}

/** Workers to which tasks of a pool can be assigned. */
interface PoolWorkers {
  /** Turn in which tasks are assigned; undefined where no workspaces share the pool. */
  fair: FairTurn | undefined;
  near: NearPlacePass | undefined;
  pool: PoolState;
  /** Those on which suspected tasks start alone, and the others. */
  starts: IsolatedStarts;
  workers: readonly Worker[];
}

/** Assigns waiting tasks to workers with enough free capacity. */
export class Assigner {
  #assignedCount = 0;
  readonly #lastAdvice = new WeakMap<StepRun, AllowedWorkers>();

  constructor(
    private readonly ctx: SchedulerContext,
    private readonly runControl: RunControl,
    private readonly findAllowedWorkers: AdviceLookup,
    private readonly nearPlaces: NearPlaces,
  ) {}

  /** Assigns the waiting tasks of the ready steps of a pool, as far as its workers have free capacity. */
  assignWaiting(pool: PoolState, now: number, wallNow: number): void {
    this.#assignedCount = countRuns(this.ctx.workers.values());
    pool.waitsForMaximum = false;
    this.nearPlaces.onAssignment(pool);
    const workers = pool.assignableWorkers(now);
    const steady = workers.filter((worker) => !worker.isAtRisk(now));
    this.#assignTo(pool, steady, workers, now, wallNow);
    if (steady.length < workers.length) {
      this.#assignTo(pool, workers, workers, now, wallNow);
    }
  }

  // Uses only some of the workers; advice is asked for all of them.
  #assignTo(
    pool: PoolState,
    usable: readonly Worker[],
    workers: readonly Worker[],
    now: number,
    wallNow: number,
  ): void {
    if (usable.length === 0) {
      return;
    }
    const free = new FreeCapacity(usable);
    const starts = new IsolatedStarts(usable, now);
    const near = this.nearPlaces.begin(pool, now, wallNow);
    const policyOf = (run: JobRun): JobPolicy | undefined => this.ctx.getPolicy(run);
    // Advice is asked for before there is room.
    const mayAssign = (run: JobRun, step: StepRun): boolean =>
      (free.mayFit(step.spec) || policyOf(run)?.advice !== undefined) && this.#isAdmitted(step, pool);
    const assignJob = ({ run, steps }: WaitingJob, fair?: FairTurn): void => {
      for (const step of steps) {
        if (mayAssign(run, step)) {
          this.#assignStep(run, step, { fair, near, pool, starts, workers }, now);
          free.update();
          pool.needsAssignment ||= isStartLimited(step);
        }
      }
    };
    const ranked = pool.rankWaitingJobs(mayAssign, policyOf, this.ctx.runTimes, wallNow);
    const turns = FairTurns.from(ranked, pool, this.ctx.weights, wallNow);
    if (turns === undefined) {
      ranked.forEach((job) => {
        assignJob(job);
      });
    } else {
      this.#assignInTurns(turns, assignJob);
    }
  }

  #assignInTurns(turns: FairTurns, assignJob: (job: WaitingJob, fair: FairTurn) => void): void {
    for (let turn = turns.next(); turn !== undefined; turn = turns.next()) {
      const waiting = turn.job.steps.reduce((sum, { waitingCount }) => sum + waitingCount, 0);
      const assignedBefore = this.#assignedCount;
      assignJob(turn.job, { turn, turns });
      turns.end(this.#assignedCount - assignedBefore, waiting);
    }
  }

  /** Returns the workers that could run a step when its tasks were last assigned. */
  lastAllowedWorkers(step: StepRun): AllowedWorkers {
    return this.#lastAdvice.get(step);
  }

  #assignStep(
    run: JobRun,
    step: StepRun,
    { fair, near, pool, starts, workers }: PoolWorkers,
    now: number,
  ): void {
    const policy = this.ctx.getPolicy(run);
    const allowed = policy?.advice === undefined ? undefined : this.findAllowedWorkers(policy, step, workers);
    this.#lastAdvice.set(step, allowed);
    if (allowed?.size === 0) {
      return;
    }
    const nearStep = near?.forStep(step, policy);
    if (step.spec.gang) {
      this.#assignGang(step, { allowed, workers: starts.open }, now, fair, nearStep);
      return;
    }
    const suspected = step.createdWaitingTasks().filter((task) => task.isSuspected);
    for (const task of suspected.filter((item) => mayStart(item, now) && !awaitsProof(item))) {
      if (!this.#isAdmitted(step, pool)) {
        return;
      }
      const worker = starts.choose(task, allowed);
      if (worker !== undefined) {
        this.#assign(task, worker, task.run + 1, now, { fair });
      }
    }
    for (const task of step.waitingTasks()) {
      const isTurnOver = fair !== undefined && fair.turn.tasksLeft <= 0;
      if (
        isTurnOver ||
        isStartLimited(step) ||
        this.#isMemoryLimited(step) ||
        !this.#isAdmitted(step, pool)
      ) {
        return;
      }
      if (task.isSuspected || !mayStart(task, now)) {
        continue;
      }
      const usable = usableFor(task, starts.open, now);
      const choice = chooseFor(task, usable, allowed, nearStep);
      if (choice.worker !== undefined) {
        const { rackStart, worker } = choice;
        this.#assign(task, worker, task.run + 1, now, { fair, rackStart });
      } else if (choice.waits) {
        continue;
      } else if (usable === starts.open) {
        // None of the open workers fits any other task of the step either.
        return;
      }
    }
  }

  #assignGang(
    step: StepRun,
    usable: UsableWorkers,
    now: number,
    fair: FairTurn | undefined,
    near: NearPlaceStep | undefined,
  ): void {
    const members = step.createdWaitingTasks();
    if (step.waitingCount < step.spec.count || !members.every((task) => mayStart(task, now))) {
      return;
    }
    const chosen =
      near === undefined
        ? chooseWorkersForGang(step, usable.workers, usable.allowed)
        : near.chooseForGang(usable);
    const run = members.reduce((newest, task) => Math.max(newest, task.run), 0) + 1;
    const checkpoint = members.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    for (const [task, worker] of chosen ?? []) {
      task.checkpoint = checkpoint;
      this.#assign(task, worker, run, now, { fair });
    }
  }

  #isAdmitted(step: StepRun, pool: PoolState): boolean {
    const isAdmitted = this.ctx.maxima.admits(step);
    pool.waitsForMaximum ||= !isAdmitted;
    return isAdmitted;
  }

  #isMemoryLimited({ unfinishedCount, waitingCount }: StepRun): boolean {
    return (
      this.#assignedCount >= MAX_ASSIGNED_TASKS && unfinishedCount - waitingCount >= MIN_ASSIGNED_PER_STEP
    );
  }

  #assign(task: Task, worker: Worker, run: number, now: number, { fair, rackStart }: StartReasons): void {
    this.#assignedCount += 1;
    const share = fair?.turns.onAssigned(task);
    if (fair !== undefined) {
      fair.turn.tasksLeft -= 1;
    }
    task.assign(worker, run, now);
    this.runControl.storeTask(task);
    this.ctx.pending.starts.push({ rackStart, run, task, worker });
    this.ctx.log(DECISION.assigned, {
      freeCpuMilli: worker.freeCpuMilli,
      pool: worker.info.pool,
      ...rackStart,
      run,
      task: task.name,
      worker: worker.info.id,
      ...(share === undefined ? {} : { share, workspace: task.job.job.workspace }),
    });
  }
}

function chooseFor(
  task: Task,
  workers: readonly Worker[],
  allowed: AllowedWorkers,
  near: NearPlaceStep | undefined,
): NearChoice {
  if (near !== undefined) {
    return near.choose(task, { allowed, workers });
  }
  const worker = chooseWorker(task, workers, allowed);
  return worker === undefined ? { waits: false, worker } : { rackStart: undefined, waits: false, worker };
}

function mayStart({ startsNotBefore }: Task, now: number): boolean {
  return startsNotBefore <= now;
}

function countRuns(workers: Iterable<Worker>): number {
  let count = 0;
  for (const { runs } of workers) {
    count += runs.size;
  }
  return count;
}

function isStartLimited(step: StepRun): boolean {
  return step.startingCount >= MAX_STARTING_TASKS;
}

// An order that is carried out late must not make more tasks of a step unavailable than it tolerates, unless the task
// would wait too long.
function usableFor(task: Task, workers: readonly Worker[], now: number): readonly Worker[] {
  const isTolerated =
    task.step.spec.mayMiss === 0 || canDisrupt(task, now) || now - task.phaseSince >= AT_RISK_DELAY_MS;
  return isTolerated ? workers : workers.filter((worker) => !worker.isAtRisk(now));
}
