import type { Demand } from './demand';
import type { JobPolicy } from './fleet-config';
import type { JobRun } from './job-run';
import type {
  FarCause,
  NearCause,
  NearPlaceDecision,
  NearPlaceInputs,
  NearPlaceRule,
} from './near-place-wait';
import type { AllowedWorkers } from './placement';
import type { PoolState } from './pool-state';
import type { HeldPlace, RackPlace } from './rack-timeline';
import type { RunTimeInterval } from './run-time-estimator';
import type { SchedulerContext } from './scheduler-context';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';
import { canDisrupt } from '../maintenance/disruption-budget';
import { expectedRunEnds } from './expected-run-ends';
import { slackMs } from './job-rank';
import { FAR_CAUSE, NEAR_CAUSE } from './near-place-wait';
import { chooseWorker, chooseWorkersForGang } from './placement';
import { latestOf, RackTimeline } from './rack-timeline';
import { DECISION } from './scheduler-output';
import { CLOSURE } from './worker-closure';
import { WorkspaceShares } from './workspace-shares';

/** VM that is being moved to a pool. */
export interface ArrivingVm {
  /** Monotonic time at which its worker is expected, in ms. */
  at: number;
  capacity: Demand;
  labels: readonly string[];
  rack: string;
}

/** What the scheduler does not know by itself. */
export interface NearPlaceSources {
  /** Returns the VMs that are being moved to a pool. */
  arrivals: (pool: string) => readonly ArrivingVm[];
  /** Whether a job counts as one of a workspace above its share, whatever its workspace uses. */
  isAboveShare: (run: JobRun) => boolean;
}

/** Where a task starts, for a task that is faster near its data or in one rack with its step. */
export type RackStart = ({ cause: FarCause; place: 'far' } | { cause: NearCause; place: 'near' }) & {
  /** Time for which the task could have started elsewhere, in ms. */
  waitedMs: number;
};

/** Where a task starts, or that it waits for a near worker; neither if no worker has room. */
export type NearChoice =
  { rackStart: RackStart | undefined; waits: false; worker: Worker } | { waits: boolean; worker: undefined };

/** Workers that may run a step in one assignment of tasks. */
export interface UsableWorkers {
  allowed: AllowedWorkers;
  workers: readonly Worker[];
}

/** Home of a step: the rack in which its tasks are faster. */
interface Home {
  isNear: (worker: Worker) => boolean;
  /** Name of the rack, which is also a label of its workers. */
  rack: string;
  timeline: RackTimeline;
}

/** What a task of a step finds while nothing is assigned. */
interface Options {
  /** Worker on which it would start without regard to the wait; undefined if none has room. */
  best: Worker | undefined;
  home: Home | undefined;
  lastFailedWorkerId: string;
  /** Near worker with room. */
  near: Worker | undefined;
  /** Places in the home that the step may use. */
  places: readonly HeldPlace[];
  workers: readonly Worker[];
}

interface Wait {
  run: number;
  since: number;
}

const NO_ROOM: NearChoice = { waits: false, worker: undefined };
const WAITS: NearChoice = { waits: true, worker: undefined };

/** Keeps since when tasks have been waiting for a near worker, and lets each assignment of tasks decide about them. */
export class NearPlaces {
  readonly #logged = new WeakSet<StepRun>();
  readonly #seenPools = new WeakSet<PoolState>();
  readonly #takenOver = new WeakSet<JobRun>();
  readonly #waits = new WeakMap<Task, Wait>();
  /** Sources of what the scheduler does not know by itself. */
  sources: NearPlaceSources = { arrivals: () => [], isAboveShare: () => false };

  /**
   * @param rule Undefined where nothing waits and placement regards no racks of steps.
   */
  constructor(
    private readonly ctx: SchedulerContext,
    private readonly rule: NearPlaceRule | undefined,
  ) {}

  /** Whether a task waits for a near worker although another one has room. */
  isWaiting(task: Task): boolean {
    return task.phase === 'waiting' && this.#waits.get(task)?.run === task.run;
  }

  /**
   * Remembers the jobs that a pool has when this leader first assigns its tasks: an earlier leader may have let their
   * tasks wait, so that they wait no longer.
   */
  onAssignment(pool: PoolState): void {
    if (this.rule === undefined || this.#seenPools.has(pool)) {
      return;
    }
    this.#seenPools.add(pool);
    for (const run of pool.jobs) {
      this.#takenOver.add(run);
    }
  }

  /** Begins an assignment of the tasks of a pool at a monotonic and a wall clock time in ms; undefined without a rule. */
  begin(pool: PoolState, now: number, wallNow: number): NearPlacePass | undefined {
    return this.rule && new NearPlacePass(this.ctx, this, this.rule, pool, now, wallNow);
  }

  /** Time for which a task could have started elsewhere at a monotonic time, in ms. */
  waitedMs(task: Task, now: number): number {
    const wait = this.#waits.get(task);
    return wait?.run === task.run ? now - wait.since : 0;
  }

  /** Whether an earlier leader may have let the tasks of a job wait. */
  isTakenOver(run: JobRun): boolean {
    return this.#takenOver.has(run);
  }

  /** Notes that a task waits although it could start elsewhere at a monotonic time in ms. */
  onWait(task: Task, now: number): void {
    if (this.#waits.get(task)?.run !== task.run) {
      this.#waits.set(task, { run: task.run, since: now });
    }
  }

  /** Logs that tasks of a step wait, the first time. */
  logOnce(step: StepRun, describe: () => Record<string, unknown>): void {
    if (!this.#logged.has(step)) {
      this.#logged.add(step);
      this.ctx.log(DECISION.waitsForRack, describe());
    }
  }
}

/** One assignment of the waiting tasks of a pool. */
export class NearPlacePass {
  readonly #remoteFactor: number;
  /** Shares as they were at the first decision of the assignment. */
  #shares: WorkspaceShares | undefined;
  readonly #timelines = new Map<string, RackTimeline>();

  constructor(
    private readonly ctx: SchedulerContext,
    private readonly places: NearPlaces,
    private readonly rule: NearPlaceRule,
    private readonly pool: PoolState,
    private readonly now: number,
    private readonly wallNow: number,
  ) {
    this.#remoteFactor = ctx.settings.remoteFactor ?? 1;
  }

  /** Returns the decisions about the tasks of a step; undefined for a step that is as fast on any worker. */
  forStep(step: StepRun, policy: JobPolicy | undefined): NearPlaceStep | undefined {
    const { preferredRack, rackSensitive } = step.spec;
    const isConcerned =
      preferredRack !== '' || (rackSensitive && step.spec.count > 1 && step.racks().size < 2);
    return isConcerned ? new NearPlaceStep(this, step, policy) : undefined;
  }

  /** Returns the timeline of the workers with a label. */
  withLabel(label: string): RackTimeline {
    return this.#timeline(`label ${label}`, ({ labels }) => labels.includes(label));
  }

  /** Returns the timeline of the workers of a rack. */
  inRack(rack: string): RackTimeline {
    return this.#timeline(`rack ${rack}`, (info) => info.rack === rack);
  }

  /**
   * Decides whether a task, and the tasks of its step that it needs room together with, wait for room in their home.
   *
   * @param count Number of these tasks.
   * @param slack Time by which the next step of the job can start later, in ms.
   */
  decide(
    task: Task,
    count: number,
    home: Home,
    places: readonly HeldPlace[],
    slack: number,
  ): NearPlaceDecision {
    const { job, step } = task;
    const slots = home.timeline.findSlots(step, count, places);
    const inputs: NearPlaceInputs = {
      expectedWaitMs: slots && latestOf(slots),
      isAboveShare: this.places.sources.isAboveShare(job) || this.#isAboveShare(job),
      isAvailabilityAtRisk: step.spec.longRunning && !canDisrupt(task, this.now),
      isSuspected:
        task.isSuspected || (step.spec.gang && step.createdWaitingTasks().some((item) => item.isSuspected)),
      isTakenOver: this.places.isTakenOver(job),
      runTime: this.ctx.runTimes.nearInterval(job.job.queue, step.spec),
      slackMs: slack,
      waitedMs: this.#waitedMs(task, count),
    };
    const decision = this.rule.decide(inputs);
    if (decision.waits) {
      this.#logWait(task, home, inputs, decision.limitMs);
      home.timeline.hold(slots ?? []);
    }
    return decision;
  }

  /** Returns the time by which the next step of a job can start later for the job to meet its objective, in ms. */
  slackMs(run: JobRun, policy: JobPolicy | undefined): number {
    return slackMs(run, policy, this.ctx.runTimes, this.wallNow);
  }

  /** Notes that a task waits although it could start elsewhere. */
  onWait(task: Task): void {
    this.places.onWait(task, this.now);
  }

  /** Returns how a task starts near its data. */
  nearStart(task: Task): RackStart {
    const waitedMs = this.places.waitedMs(task, this.now);
    return { cause: waitedMs > 0 ? NEAR_CAUSE.waited : NEAR_CAUSE.atOnce, place: 'near', waitedMs };
  }

  /** Returns how a task starts elsewhere. */
  farStart(task: Task, cause: FarCause): RackStart {
    return { cause, place: 'far', waitedMs: this.places.waitedMs(task, this.now) };
  }

  #isAboveShare({ job: { workspace } }: JobRun): boolean {
    const { weights } = this.ctx;
    if (weights === undefined || workspace === undefined) {
      return false;
    }
    this.#shares ??= new WorkspaceShares(this.pool, weights);
    return this.#shares.isAbove(workspace);
  }

  // Of tasks that wait together, one may have had a run since the others began to wait.
  #waitedMs(task: Task, count: number): number {
    const together = count > 1 ? task.step.createdWaitingTasks() : [task];
    return together.reduce((longest, item) => Math.max(longest, this.places.waitedMs(item, this.now)), 0);
  }

  /** Returns the racks of the workers of the pool. */
  racks(): Set<string> {
    return new Set([...this.pool.workers].map(({ info }) => info.rack));
  }

  #logWait(task: Task, home: Home, inputs: NearPlaceInputs, limitMs: number): void {
    this.places.logOnce(task.step, () => ({
      ahead: home.timeline.heldCount,
      expectedWaitMs: Math.round(inputs.expectedWaitMs ?? 0),
      limitMs: Math.round(limitMs),
      pool: task.job.job.pool,
      rack: home.rack,
      remoteFactor: this.#remoteFactor,
      runHighMs: Math.round(inputs.runTime.highMs),
      runLowMs: Math.round(inputs.runTime.lowMs),
      slackMs: Math.round(inputs.slackMs),
      task: task.name,
      waitedMs: Math.round(inputs.waitedMs),
      workers: home.timeline.size,
    }));
  }

  #timeline(key: string, isIn: (info: Pick<ArrivingVm, 'labels' | 'rack'>) => boolean): RackTimeline {
    const known = this.#timelines.get(key);
    if (known !== undefined) {
      return known;
    }
    const timeline = new RackTimeline([...this.#openPlaces(isIn), ...this.#arrivingPlaces(isIn)]);
    this.#timelines.set(key, timeline);
    return timeline;
  }

  #openPlaces(isIn: (info: Worker['info']) => boolean): RackPlace[] {
    const places: RackPlace[] = [];
    for (const worker of this.pool.workers) {
      const closure = worker.closure(this.now);
      if (isIn(worker.info) && (closure === undefined || closure.reason === CLOSURE.paused)) {
        places.push({
          capacity: worker.info.capacity,
          ends: () => expectedRunEnds(worker, (task) => this.#runTimeOf(task), this.#remoteFactor, this.now),
          labels: worker.info.labels,
          opensInMs: Math.max(0, worker.pausedUntil - this.now),
          worker,
        });
      }
    }
    return places;
  }

  #arrivingPlaces(isIn: (vm: ArrivingVm) => boolean): RackPlace[] {
    const [worker] = this.pool.workers;
    const arrivals = worker === undefined ? [] : this.places.sources.arrivals(worker.info.pool);
    return arrivals
      .filter((vm) => isIn(vm) && vm.at > this.now)
      .map(({ at, capacity, labels }) => ({
        capacity,
        ends: () => [],
        labels,
        opensInMs: at - this.now,
        worker: undefined,
      }));
  }

  #runTimeOf({ job, step }: Task): RunTimeInterval {
    return this.ctx.runTimes.nearInterval(job.job.queue, step.spec);
  }
}

/** Decides about the tasks of a step in one assignment of tasks. */
export class NearPlaceStep {
  #home: Home | undefined;
  #isHomeKnown = false;
  /** Decision about all waiting tasks of the step. */
  #joint: NearPlaceDecision | undefined;
  #options: Options | undefined;
  #slackMs: number | undefined;

  constructor(
    private readonly pass: NearPlacePass,
    private readonly step: StepRun,
    private readonly policy: JobPolicy | undefined,
  ) {}

  /** Returns the worker on which a task starts, or that it waits for a near one. */
  choose(task: Task, usable: UsableWorkers): NearChoice {
    const options = this.#optionsFor(task, usable);
    const { best, home, near } = options;
    if (best === undefined) {
      return NO_ROOM;
    }
    if (home === undefined) {
      return this.#startFar(task, best, FAR_CAUSE.waitTooLong);
    }
    if (near !== undefined) {
      // For a rack-sensitive step the rack goes before what else speaks for a worker.
      const isChosen = near === best || this.step.spec.preferredRack === '';
      return isChosen ? this.#startNear(task, near) : this.#startFar(task, best, FAR_CAUSE.nearAvoided);
    }
    const decision = this.#decide(task, home, options.places);
    if (!decision.waits) {
      return this.#startFar(task, best, decision.cause);
    }
    this.pass.onWait(task);
    return WAITS;
  }

  /** Returns the workers on which the tasks of a gang start; undefined if they have no room or wait for near ones. */
  chooseForGang(usable: UsableWorkers): Map<Task, Worker> | undefined {
    const { allowed, workers } = usable;
    const chosen = chooseWorkersForGang(this.step, workers, allowed);
    const [first] = chosen ?? [];
    if (chosen === undefined || first === undefined) {
      return undefined;
    }
    const [task, worker] = first;
    const home = this.#getHome(worker, usable);
    if (home === undefined || [...chosen.values()].every((item) => home.isNear(item))) {
      return chosen;
    }
    const near = workers.filter((item) => home.isNear(item));
    const together = chooseWorkersForGang(this.step, near, allowed);
    if (together !== undefined) {
      return together;
    }
    const places = home.timeline.placesFor(acceptsFor(this.step, usable));
    if (!this.#decide(task, home, places).waits) {
      return chosen;
    }
    for (const member of chosen.keys()) {
      this.pass.onWait(member);
    }
    return undefined;
  }

  // What a task finds holds for the next one of the step too, unless one has started in between.
  #optionsFor(task: Task, usable: UsableWorkers): Options {
    const { lastFailedWorkerId } = task;
    const known = this.#options;
    if (known?.workers === usable.workers && known.lastFailedWorkerId === lastFailedWorkerId) {
      return known;
    }
    const { allowed, workers } = usable;
    const best = chooseWorker(task, workers, allowed);
    const home = best && this.#getHome(best, usable);
    const options: Options = { best, home, lastFailedWorkerId, near: undefined, places: [], workers };
    if (best !== undefined && home !== undefined) {
      const nearWorkers = workers.filter((worker) => home.isNear(worker));
      options.near = home.isNear(best) ? best : chooseWorker(task, nearWorkers, allowed);
      options.places = home.timeline.placesFor(acceptsFor(this.step, usable));
    }
    this.#options = options;
    return options;
  }

  // Tasks that are slower when they are spread wait for room for all of them, or all of them start.
  #decide(task: Task, home: Home, places: readonly HeldPlace[]): NearPlaceDecision {
    const { gang, preferredRack } = this.step.spec;
    this.#slackMs ??= this.pass.slackMs(task.job, this.policy);
    if (preferredRack !== '' && !gang) {
      return this.pass.decide(task, 1, home, places, this.#slackMs);
    }
    this.#joint ??= this.pass.decide(task, this.step.waitingCount, home, places, this.#slackMs);
    return this.#joint;
  }

  #startNear(task: Task, worker: Worker): NearChoice {
    this.#options = undefined;
    return { rackStart: this.pass.nearStart(task), waits: false, worker };
  }

  #startFar(task: Task, worker: Worker, cause: FarCause): NearChoice {
    this.#options = undefined;
    return { rackStart: this.pass.farStart(task, cause), waits: false, worker };
  }

  #getHome(best: Worker, usable: UsableWorkers): Home | undefined {
    if (!this.#isHomeKnown) {
      this.#isHomeKnown = true;
      this.#home = this.#findHome(best, usable);
    }
    return this.#home;
  }

  #findHome(best: Worker, usable: UsableWorkers): Home | undefined {
    const { preferredRack } = this.step.spec;
    if (preferredRack !== '') {
      return {
        isNear: ({ info }) => info.labels.includes(preferredRack),
        rack: preferredRack,
        timeline: this.pass.withLabel(preferredRack),
      };
    }
    const [begunIn] = this.step.racks();
    const rack = begunIn ?? this.#soonestRack(best, usable);
    return rack === undefined
      ? undefined
      : { isNear: ({ info }) => info.rack === rack, rack, timeline: this.pass.inRack(rack) };
  }

  // Of several racks that can take all tasks equally soon, that of the worker that is chosen anyway.
  #soonestRack(best: Worker, usable: UsableWorkers): string | undefined {
    const accepts = acceptsFor(this.step, usable);
    let soonest: string | undefined;
    let soonestMs = Infinity;
    for (const rack of new Set([best.info.rack, ...this.pass.racks()])) {
      const timeline = this.pass.inRack(rack);
      const slots = timeline.findSlots(this.step, this.step.waitingCount, timeline.placesFor(accepts));
      if (slots !== undefined && latestOf(slots) < soonestMs) {
        soonest = rack;
        soonestMs = latestOf(slots);
      }
    }
    return soonest;
  }
}

function acceptsFor({ spec }: StepRun, { allowed, workers }: UsableWorkers): (place: RackPlace) => boolean {
  const usable = new Set(workers);
  return ({ labels, opensInMs, worker }) => {
    const isOpen = worker === undefined || usable.has(worker) || opensInMs > 0;
    const isAllowed = worker === undefined ? allowed === undefined : allowed?.has(worker.info.id) !== false;
    return isOpen && isAllowed && (spec.requiredLabel === '' || labels.includes(spec.requiredLabel));
  };
}
