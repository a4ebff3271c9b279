import type { AdviceLookup } from './assigner';
import type { Demand } from './demand';
import type { EndAcknowledgement } from './end-acknowledgement';
import type { FleetConfig } from './fleet-config';
import type { Job } from './job-spec';
import type { NearPlaceRule } from './near-place-wait';
import type { NearPlaceSources } from './near-places';
import type { PoolLoad } from './pool-load';
import type { PoolUse } from './pool-use';
import type { TaskRecord } from './run-record';
import type { SchedulerSettings } from './scheduler-context';
import type { DecisionLog, Plan, StartOrder, StopOrder } from './scheduler-output';
import type { StepRun } from './step-run';
import type { DoneTasks } from './stored-tasks';
import type { Task } from './task';
import type { VmClaims } from './vm-claims';
import type { WaitingReport } from './waiting-tasks';
import type { Worker, WorkerInfo } from './worker';
import type { AnswerClock, StartAnswer, WorkerReport } from './worker-report';
import type { WorkspaceLoad } from './workspace-load';
import { Assigner } from './assigner';
import { JobRun } from './job-run';
import { MissedCalls } from './missed-calls';
import { BoundedNearPlaceWait } from './near-place-wait';
import { NearPlaces } from './near-places';
import { delayOrdersAfterRefusal } from './order-refusal';
import { OverdueRuns } from './overdue-runs';
import { computePoolLoad } from './pool-load';
import { computePoolUse } from './pool-use';
import { computePoolWork } from './pool-work';
import { reconcile } from './reconcile';
import { RunControl } from './run-control';
import { RunEndHandler } from './run-end-handler';
import { SchedulerContext } from './scheduler-context';
import { DECISION } from './scheduler-output';
import { findRunsToMove, findStalledRuns } from './stalled-runs';
import { parseTaskName } from './task-name';
import { throttleBestEffortTasks } from './throttle';
import { CLAIM_REASON } from './vm-claims';
import { WaitingTasks } from './waiting-tasks';
import { WorkerDirectory } from './worker-directory';
import { WorkerLossHandler } from './worker-loss-handler';
import { WorkerQuarantine } from './worker-quarantine';
import { ANSWERED_BY, identifyIncarnation, START_ANSWER } from './worker-report';
import { computeWorkspaceLoads } from './workspace-load';

/** Holder of the claims by the scheduler itself. */
const CLAIM_HOLDER = 'scheduler';

/** Longest time for which a worker whose VM was taken is kept closed without a report, in ms: longer than leases. */
const VM_TAKEN_LIMIT_MS = 5000;

/**
 * Decides which worker runs which task. Inputs are events with a monotonic time in ms; `plan` returns the
 * resulting records and orders. Only the scheduler of the current leader takes effect: its records are
 * stored with a conditional append before its orders are sent, and workers refuse orders of earlier terms.
 */
export class Scheduler {
  readonly #assigner: Assigner;
  readonly #directory: WorkerDirectory;
  #areLimitsApplied = true;
  #isAssignmentPaused = false;
  readonly #runControl: RunControl;
  readonly #ctx: SchedulerContext;
  readonly #missedCalls = new MissedCalls();
  readonly #nearPlaces: NearPlaces;
  readonly #overdueRuns: OverdueRuns;
  readonly #quarantine: WorkerQuarantine;
  readonly #runEnds: RunEndHandler;
  readonly #waitingTasks = new WaitingTasks();
  readonly #workerLosses: WorkerLossHandler;

  constructor(
    settings: SchedulerSettings,
    log: DecisionLog,
    advice: AdviceLookup = () => new Set(),
    nearPlaceRule: NearPlaceRule | undefined = defaultNearPlaceRule(settings),
  ) {
    this.#ctx = new SchedulerContext(settings, log);
    this.#overdueRuns = new OverdueRuns(log);
    this.#runControl = new RunControl(this.#ctx);
    this.#quarantine = new WorkerQuarantine(this.#ctx);
    this.#runEnds = new RunEndHandler(this.#ctx, this.#runControl, this.#quarantine);
    this.#workerLosses = new WorkerLossHandler(this.#ctx, this.#runControl);
    this.#directory = new WorkerDirectory(this.#ctx, this.#workerLosses);
    this.#nearPlaces = new NearPlaces(this.#ctx, nearPlaceRule);
    this.#assigner = new Assigner(this.#ctx, this.#runControl, advice, this.#nearPlaces);
  }

  /** Sets the sources of what the waits for near workers depend on beside the workers and their runs. */
  setNearPlaceSources(sources: Partial<NearPlaceSources>): void {
    Object.assign(this.#nearPlaces.sources, sources);
  }

  /** Claims to the VMs of the workers. */
  get vmClaims(): VmClaims {
    return this.#ctx.vmClaims;
  }

  /** Known workers, including deregistered ones that may still run tasks. */
  get workers(): ReadonlyMap<string, Worker> {
    return this.#ctx.workers;
  }

  /** Jobs that have not ended, and ended jobs whose end is not stored or whose runs are still being stopped. */
  get jobs(): ReadonlyMap<string, JobRun> {
    return this.#ctx.jobs;
  }

  /** Returns the loads of the configured pools at a monotonic time in ms. */
  loads(now: number): PoolLoad[] {
    const configured = this.#ctx.cfg?.pools ?? [];
    const allowance = this.#ctx.maxima.allowance();
    const workAllowance = this.#ctx.maxima.allowance();
    return configured.map(({ name }) => {
      const pool = this.#ctx.getOrCreatePool(name);
      const work = computePoolWork(pool, this.#ctx.runTimes, now, workAllowance);
      return { ...computePoolLoad(name, pool, now, allowance), work };
    });
  }

  /** Returns how much of the capacity of the configured pools is reserved, without the spare pools. */
  poolUses(): PoolUse[] {
    const configured = this.#ctx.cfg?.pools ?? [];
    return configured
      .filter(({ spare }) => !spare)
      .map(({ name }) => computePoolUse(name, this.#ctx.getOrCreatePool(name)));
  }

  /** Returns what the runs of a workspace reserve, over all workers. */
  workspaceUseOf(workspace: string): Demand {
    return this.#ctx.workspaceUse.of(workspace);
  }

  /** Returns the use, the maximum and the waiting tasks of the workspaces. */
  workspaceLoads(): WorkspaceLoad[] {
    return computeWorkspaceLoads(this.#ctx);
  }

  /**
   * Returns the tasks that have waited long at a monotonic time in ms although their pool has room for them, by
   * pool, and the reasons. Waiting times are counted from the first of these calls that finds a task ready.
   */
  waitingWithRoom(now: number): WaitingReport[] {
    this.#requestAssignmentsAfterFall();
    const state = {
      allowedWorkers: (step: StepRun) => this.#assigner.lastAllowedWorkers(step),
      isPaused: this.#isAssignmentPaused,
      maxAttempts: (run: JobRun) => this.#ctx.getPolicy(run)?.maxAttempts,
      maximumObstacle: (step: StepRun) => this.#ctx.maxima.findObstacle(step),
      weights: this.#ctx.weights,
      waitsForRack: (task: Task) => this.#nearPlaces.isWaiting(task),
    };
    return this.#waitingTasks.report(this.#ctx.pools, state, now);
  }

  /** Applies a configuration. No tasks are assigned before the first one. */
  onConfig(cfg: FleetConfig): void {
    this.#ctx.cfg = cfg;
    this.#areLimitsApplied = false;
    this.requestAssignment();
  }

  /**
   * Adds an accepted job and restores the state of its tasks from records of earlier terms; those in `done` have no
   * record there.
   */
  onJob(
    job: Job,
    records: readonly TaskRecord[],
    now: number,
    wallNow: number,
    done: readonly DoneTasks[] = [],
  ): void {
    if (this.#ctx.jobs.has(job.id)) {
      return;
    }
    const run = new JobRun(job);
    run.addDueOccurrences(wallNow);
    run.addRecordedOccurrences(newestOccurrence(records, done));
    this.#ctx.jobs.set(job.id, run);
    this.#ctx.entitlement.add(run, wallNow);
    const pool = this.#ctx.getOrCreatePool(job.pool);
    pool.jobs.add(run);
    pool.needsAssignment = true;
    restoreDone(run, done);
    this.#restore(run, records, now, wallNow);
    this.#runControl.completeIfDone(run, now);
  }

  /** Cancels a job. */
  onCancel(id: string, now: number): void {
    const run = this.#ctx.jobs.get(id);
    if (run !== undefined && !run.hasEnded) {
      this.#runControl.endJob(run, 'cancelled', now);
    }
  }

  /** Adds or updates a worker from its entry in the registry. */
  onWorkerRegistered(info: WorkerInfo, now: number): void {
    this.#directory.register(info, now);
  }

  /** Handles the removal of a worker from the registry. */
  onWorkerDeregistered(id: string): void {
    this.#directory.deregister(id);
  }

  /**
   * Handles the answer that the VM of an emptied worker was taken. A worker that has runs by then may have come to
   * the VM later, so its own reports or the end of its lease decide about them. It gets no more tasks until it has
   * given a report that was requested after the answer. One with an unconfirmed entry may have restarted since.
   */
  onWorkerEnded(worker: Worker, now: number): void {
    if (!this.#directory.isKept(worker) || worker.unconfirmedEntry !== undefined) {
      return;
    }
    if (worker.runs.size > 0) {
      this.#ctx.log(DECISION.workerKept, { runs: worker.runs.size, worker: worker.info.id });
      const until = now + VM_TAKEN_LIMIT_MS;
      this.vmClaims.claim(worker, { holder: CLAIM_HOLDER, reason: CLAIM_REASON.taken, until }, now);
      return;
    }
    worker.isDeregistered = true;
    worker.finishedMembers.clear();
    this.#directory.removeIfIdle(worker);
  }

  /** Applies a report of a worker that was requested at the monotonic time `askedAt`, in ms. */
  onReport(worker: Worker, report: WorkerReport, askedAt: number, now: number): void {
    if (!this.#directory.applyReportedIncarnation(worker, report, askedAt, now)) {
      return;
    }
    if (askedAt > (worker.vmClaims.get(CLAIM_HOLDER)?.since ?? Infinity)) {
      this.vmClaims.release(worker, CLAIM_HOLDER, 'reported', now);
    }
    const acknowledged = worker.acknowledgement.applyReport(report);
    if (acknowledged !== undefined) {
      this.#recordAcknowledgement(worker, acknowledged);
    }
    worker.updateClock(report.clockMs, askedAt, now);
    worker.isUnresponsive = false;
    this.#workerLosses.handleReport(worker, askedAt);
    const findings = reconcile(worker, report, askedAt, now);
    worker.isFenced = true;
    for (const row of findings.newEnds) {
      this.#runEnds.handleEnd(worker, row, now);
    }
    this.#runControl.resendStops(worker, now);
    for (const task of findings.released) {
      this.#runControl.release(task, 'not-listed', now, describeReport(worker, report, askedAt, now));
    }
    for (const task of findings.unconfirmed) {
      this.#runControl.stop(task, 'order-unanswered', now);
    }
    worker.finishedMembers.applyReport(report, askedAt);
    this.#runControl.stopOrphans(worker, findings.orphans, now);
    for (const { job, phase } of worker.runs.values()) {
      if (phase === 'running') {
        this.#runControl.reportRunning(job);
      }
    }
    this.#throttle(worker);
    this.#ctx.getOrCreatePool(worker.info.pool).needsAssignment = true;
    this.#directory.removeIfIdle(worker);
  }

  /**
   * Returns the acknowledgement that can be sent to a worker at a monotonic time in ms; undefined if none is due, or if
   * it could drop an end that nobody has read. One that is returned has to get an outcome.
   */
  beginAcknowledgement(worker: Worker, now: number): EndAcknowledgement | undefined {
    const { acknowledgement, info, isFenced, isUnresponsive } = worker;
    const canBeSent = isFenced && !isUnresponsive && !acknowledgement.isPending;
    if (!worker.hasUnacknowledgedEnds || !canBeSent) {
      return undefined;
    }
    if (!acknowledgement.isTimely(now, this.#areCallsMissed(worker, now))) {
      return undefined;
    }
    if (!worker.hasOnlyProvenRuns) {
      acknowledgement.block(now);
      return undefined;
    }
    const sent = { bornAt: info.bornAt, number: worker.endsStored, sentAt: now };
    acknowledgement.begin(sent);
    return sent;
  }

  /** Handles the answer to an acknowledgement by the incarnation of a worker that started at `answeredBy`. */
  onAcknowledgementAnswered(worker: Worker, answeredBy: number): void {
    const sent = worker.acknowledgement.settle();
    if (sent === undefined) {
      return;
    }
    const { bornAt, number } = sent;
    if (answeredBy === bornAt) {
      this.#recordAcknowledgement(worker, sent);
    } else {
      const data = { answeredBy, bornAt, number, worker: worker.info.id };
      this.#ctx.log(DECISION.acknowledgedByOther, data);
    }
  }

  /** Handles that an acknowledgement certainly is not carried out. */
  onAcknowledgementUnsent(worker: Worker): void {
    worker.acknowledgement.settle();
  }

  /** Handles that an acknowledgement got no usable answer, for a reason as it appears in the log. */
  onAcknowledgementUnanswered(worker: Worker, reason: string, now: number): void {
    const sent = worker.acknowledgement.lose(now);
    if (sent === undefined) {
      return;
    }
    const { bornAt, number, sentAt } = sent;
    const data = { bornAt, number, reason, sentAgoMs: Math.round(now - sentAt), worker: worker.info.id };
    this.#ctx.log(DECISION.acknowledgementUnanswered, data);
  }

  /** Marks a worker as unresponsive after a call without an answer. */
  onWorkerUnresponsive(worker: Worker, now: number): void {
    this.#recordMissedCall(worker, now);
  }

  /** Marks a worker as unresponsive after its connection was closed or refused, as when its process ends. */
  onWorkerDisconnected(worker: Worker, now: number): void {
    this.#recordMissedCall(worker, now);
    this.#workerLosses.handleDisconnection(worker, now);
  }

  /** Handles that another worker answers at the address of a worker, whose process has therefore ended. */
  onWorkerReplaced(worker: Worker, now: number): void {
    if (!this.#directory.isKept(worker)) {
      return;
    }
    this.#ctx.log(DECISION.workerReplaced, { runs: worker.runs.size, worker: worker.info.id });
    worker.isDeregistered = true;
    this.#workerLosses.releaseAll(worker, 'worker-replaced', now);
    worker.finishedMembers.clear();
    this.#directory.removeIfIdle(worker);
  }

  /** Whether an order to start a run still has to be sent. */
  isStartPending(order: StartOrder): boolean {
    const { task } = order;
    return task.phase === 'starting' && task.run === order.run && task.worker === order.worker;
  }

  /** Records that an order to start a run is being sent, so that the worker may carry it out. */
  onStartSent({ run, task, worker }: StartOrder): void {
    if (task.run === run && task.worker === worker) {
      task.isOrderSent = true;
    }
  }

  /** Handles the outcome of an order to start a run; `clock` is undefined if the answer states none. */
  onStartAnswer(order: StartOrder, answer: StartAnswer, now: number, clock?: AnswerClock): void {
    const { task, worker } = order;
    const incarnation = clock === undefined ? ANSWERED_BY.unknown : identifyIncarnation(clock, now);
    if (incarnation === ANSWERED_BY.later && clock?.expected.bornAt === worker.info.bornAt) {
      this.#ctx.log(DECISION.workerUnknown, { runs: worker.runs.size, worker: worker.info.id });
      worker.onUnknownIncarnation(now, this.#ctx.settings.maxLeaseMs);
    }
    if (task.run !== order.run || task.worker !== worker) {
      return;
    }
    if (answer === START_ANSWER.started) {
      task.provenBornAt ??= incarnation === ANSWERED_BY.known ? clock?.expected.bornAt : undefined;
      task.applyEvent('confirm', now);
      this.#runControl.reportRunning(task.job);
      return;
    }
    if (answer === START_ANSWER.noAnswer) {
      this.#loseOrder(order, now);
      this.#recordMissedCall(worker, now);
      return;
    }
    this.#ctx.log(DECISION.orderRefused, { answer, run: order.run, task: task.name, worker: worker.info.id });
    delayOrdersAfterRefusal(order, answer, this.#ctx.settings, now);
    if (task.phase === 'starting' || task.phase === 'stopping') {
      this.#runControl.release(task, answer, now);
    }
  }

  /** Records that a worker acknowledged an order to stop a run. */
  onStopAcknowledged(order: StopOrder, now: number): void {
    const task = order.worker.runs.get(order.task);
    order.worker.orphans.acknowledgeStop(order.task, order.run, now);
    if (task?.run === order.run && task.phase === 'stopping') {
      task.stopAcknowledgedAt = now;
    }
  }

  /** Handles that the end of a job is stored: the records of its tasks can be removed. */
  onEndStored(id: string): void {
    const run = this.#ctx.jobs.get(id);
    if (run?.hasEnded === true) {
      run.isEndStored = true;
      this.#runControl.dropRecordsIfIdle(run);
    }
  }

  /** Stops a run so that its task continues on another worker. */
  moveAway(task: Task, reason: string, now: number): void {
    if (task.phase === 'running') {
      this.#ctx.log(DECISION.moved, {
        reason,
        run: task.run,
        task: task.name,
        worker: task.worker?.info.id,
      });
      this.#runControl.stop(task, reason, now);
    }
  }

  /**
   * Releases runs whose lease has expired, moves stalled runs and adds due occurrences of jobs. The entries of the
   * registry are known as of the monotonic time `registryCurrentAt`, in ms.
   */
  tick(now: number, wallNow: number, registryCurrentAt = -Infinity): void {
    for (const worker of [...this.#ctx.workers.values()]) {
      this.vmClaims.expire(worker, now);
      worker.expireLateCalls(now);
      this.#directory.removeIfIdle(worker);
      // A responsive worker reports the outcome of its runs itself.
      if (now > worker.leaseEndsAt && (worker.isUnresponsive || worker.isDeregistered)) {
        this.#workerLosses.releaseExpired(worker, now, registryCurrentAt);
        const { earlierLongestLeasesEndAt, maxLeaseMs } = this.#ctx.settings;
        if (now > Math.max(worker.longestLeaseEndsAt(maxLeaseMs), earlierLongestLeasesEndAt)) {
          worker.finishedMembers.clear();
          worker.orphans.uncount();
        }
        this.#directory.removeIfIdle(worker);
      }
      this.#moveStalledAndLeaving(worker, now);
      for (const task of this.#overdueRuns.check(worker, now)) {
        this.#loseOrder({ run: task.run, task, worker }, now);
      }
    }
    this.#workerLosses.releaseAwaitingProof(now);
    if (this.#ctx.cfg !== undefined) {
      this.#ctx.entitlement.settle(wallNow);
    }
    for (const run of this.#ctx.jobs.values()) {
      if (run.addDueOccurrences(wallNow)) {
        this.#ctx.getOrCreatePool(run.job.pool).needsAssignment = true;
      }
    }
  }

  /**
   * Returns the records and orders that have accumulated since the last call. Assigns tasks first, unless
   * `assign` is false, for example because the store is too slow for new assignments.
   */
  plan(now: number, wallNow: number, assign = true): Plan {
    this.#applyLimits(now);
    this.#isAssignmentPaused = !assign || this.#ctx.cfg === undefined;
    this.#requestAssignmentsAfterFall();
    for (const pool of this.#ctx.pools.values()) {
      if (pool.needsAssignment && !this.#isAssignmentPaused) {
        pool.assignedAt = now;
        pool.needsAssignment = false;
        this.#assigner.assignWaiting(pool, now, wallNow);
      }
    }
    // The assignment of gangs tries workers, which frees nothing in the end.
    this.#ctx.workspaceUse.hasFallen = false;
    return this.#ctx.takePlan();
  }

  /** Requests a new assignment of tasks in all pools, for example after the pause of a worker has ended. */
  requestAssignment(): void {
    for (const pool of this.#ctx.pools.values()) {
      pool.needsAssignment = true;
    }
  }

  // What ends in one pool may let tasks of its workspace start in another.
  #requestAssignmentsAfterFall(): void {
    const { pools, workspaceUse } = this.#ctx;
    if (workspaceUse.hasFallen) {
      workspaceUse.hasFallen = false;
      for (const pool of pools.values()) {
        pool.needsAssignment ||= pool.waitsForMaximum;
      }
    }
  }

  #recordMissedCall(worker: Worker, now: number): void {
    if (!worker.isUnresponsive) {
      this.#missedCalls.record(now);
    }
    worker.isUnresponsive = true;
    worker.lastMissedAt = now;
  }

  #areCallsMissed({ lastMissedAt }: Worker, now: number): boolean {
    const { size } = this.#ctx.workers;
    return MissedCalls.isRecent(lastMissedAt, now) || this.#missedCalls.areWidespread(size, now);
  }

  #recordAcknowledgement(worker: Worker, { bornAt, number }: EndAcknowledgement): void {
    if (worker.info.bornAt === bornAt) {
      worker.endsAcknowledged = Math.max(worker.endsAcknowledged, number);
    }
  }

  // The order may still be executed, so it has to be revoked. One that is not sent yet is dropped by its sender.
  #loseOrder(order: StartOrder, now: number): void {
    order.worker.addUnansweredOrder(order, now);
    order.task.applyEvent('lose', now);
  }

  #throttle(worker: Worker): void {
    for (const order of throttleBestEffortTasks(worker)) {
      this.#ctx.pending.throttles.push(order);
      this.#ctx.log(DECISION.throttled, { percent: order.percent, run: order.run, task: order.task });
    }
  }

  #moveStalledAndLeaving(worker: Worker, now: number): void {
    const stalled = findStalledRuns(worker, now);
    for (const task of stalled) {
      this.moveAway(task, 'no-progress', now);
    }
    if (stalled.length > 0) {
      this.#quarantine.onStalledRuns(worker, stalled.length, now);
    }
    for (const task of findRunsToMove(worker)) {
      this.moveAway(task, 'worker-leaves', now);
    }
  }

  // The limits of failed runs may not have been known before, or may have changed with the configuration.
  #applyLimits(now: number): void {
    if (this.#areLimitsApplied) {
      return;
    }
    this.#areLimitsApplied = true;
    for (const task of [...this.#ctx.jobs.values()].flatMap((run) => [...run.tasks()])) {
      this.#runControl.failIfExhausted(task, now);
    }
  }

  #restore(run: JobRun, records: readonly TaskRecord[], now: number, wallNow: number): void {
    for (const record of records) {
      const name = parseTaskName(record.task);
      const task = name && run.findStep(name)?.getOrCreateTask(name.index);
      task?.restore(record, this.#directory.findOrAdd(record, wallNow), now);
      run.runningReported = true;
    }
    for (const task of run.tasks()) {
      this.#workerLosses.restore(task, now);
      this.#runControl.failIfExhausted(task, now);
    }
    this.#runControl.finishDoneGangs(run, now);
    this.#runControl.stopIncompleteGangs(run, now);
  }
}

// What a run was given up by: a report that lists it neither as running nor as ended.
function describeReport(
  { endsAcknowledged, endsRead }: Worker,
  { bornAt, ended, running }: WorkerReport,
  askedAt: number,
  now: number,
): Record<string, unknown> {
  const newest = ended.at(-1)?.number;
  const ageMs = Math.round(now - askedAt);
  return { ageMs, bornAt, ended: ended.length, endsAcknowledged, endsRead, newest, running: running.length };
}

function defaultNearPlaceRule({ remoteFactor = 1 }: SchedulerSettings): NearPlaceRule | undefined {
  return remoteFactor > 1 ? new BoundedNearPlaceWait(remoteFactor) : undefined;
}

function restoreDone(run: JobRun, done: readonly DoneTasks[]): void {
  for (const tasks of done) {
    run.runningReported = true;
    const step = run.findStep(tasks);
    for (const index of tasks.indexes) {
      step?.restoreDone(index);
    }
  }
}

// Returns the highest number of an occurrence of which the state of a task is known; -1 if there is none.
function newestOccurrence(records: readonly TaskRecord[], done: readonly DoneTasks[]): number {
  const started = records.map(({ task }) => parseTaskName(task)?.occurrence ?? -1);
  const numbers = [...started, ...done.map(({ occurrence }) => occurrence)];
  return numbers.reduce((newest, number) => Math.max(newest, number), -1);
}
