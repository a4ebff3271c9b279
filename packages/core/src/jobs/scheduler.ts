import type { AdviceLookup } from './assigner';
import type { FleetConfig } from './fleet-config';
import type { Demand, Job } from './job-spec';
import type { PoolLoad } from './pool-load';
import type { PoolUse } from './pool-use';
import type { TaskRecord } from './run-record';
import type { SchedulerSettings } from './scheduler-context';
import type { DecisionLog, Plan, StartOrder, StopOrder } from './scheduler-output';
import type { Task } from './task';
import type { WorkerInfo } from './worker';
import type { StartAnswer, WorkerReport } from './worker-report';
import { Assigner } from './assigner';
import { JobRun } from './job-run';
import { computePoolLoad } from './pool-load';
import { computePoolUse } from './pool-use';
import { reconcile } from './reconcile';
import { RunControl } from './run-control';
import { RunEndHandler } from './run-end-handler';
import { SchedulerContext } from './scheduler-context';
import { DECISION } from './scheduler-output';
import { findRunsToMove, findStalledRuns } from './stalled-runs';
import { parseTaskName } from './task-name';
import { throttleBestEffortTasks } from './throttle';
import { Worker } from './worker';
import { WorkerLossHandler } from './worker-loss-handler';
import { START_ANSWER } from './worker-report';

/** Placeholder for the `bornAt` of a worker that is known only from stored assignments. */
const UNKNOWN_BORN_AT = 0;

/** Capacity of a worker that has not stated any. */
const NO_CAPACITY: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };

/**
 * Decides which worker runs which task. Inputs are events with a monotonic time in ms; `plan` returns the
 * resulting records and orders. Only the scheduler of the current leader takes effect: its records are
 * stored with a conditional append before its orders are sent, and workers refuse orders of earlier terms.
 */
export class Scheduler {
  readonly #assigner: Assigner;
  readonly #runControl: RunControl;
  readonly #ctx: SchedulerContext;
  readonly #runEnds: RunEndHandler;
  readonly #workerLosses: WorkerLossHandler;

  constructor(settings: SchedulerSettings, log: DecisionLog, advice: AdviceLookup = () => new Set()) {
    this.#ctx = new SchedulerContext(settings, log);
    this.#runControl = new RunControl(this.#ctx);
    this.#runEnds = new RunEndHandler(this.#ctx, this.#runControl);
    this.#workerLosses = new WorkerLossHandler(this.#ctx, this.#runControl);
    this.#assigner = new Assigner(this.#ctx, this.#runControl, advice);
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
    return configured.map(({ name }) => computePoolLoad(name, this.#ctx.getOrCreatePool(name), now));
  }

  /** Returns how much of the capacity of the configured pools is reserved, without the spare pools. */
  poolUses(): PoolUse[] {
    const configured = this.#ctx.cfg?.pools ?? [];
    return configured
      .filter(({ spare }) => !spare)
      .map(({ name }) => computePoolUse(name, this.#ctx.getOrCreatePool(name)));
  }

  /** Applies a configuration. */
  onConfig(cfg: FleetConfig): void {
    this.#ctx.cfg = cfg;
    this.requestAssignment();
  }

  /** Adds an accepted job and restores the state of its tasks from records of earlier terms. */
  onJob(job: Job, records: readonly TaskRecord[], now: number, wallNow: number): void {
    if (this.#ctx.jobs.has(job.id)) {
      return;
    }
    const run = new JobRun(job);
    run.addDueOccurrences(wallNow);
    run.addRecordedOccurrences(newestOccurrence(records));
    this.#ctx.jobs.set(job.id, run);
    const pool = this.#ctx.getOrCreatePool(job.pool);
    pool.jobs.add(run);
    pool.needsAssignment = true;
    this.#restore(run, records, now);
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
    const known = this.#ctx.workers.get(info.id);
    if (known === undefined) {
      const worker = new Worker(info, now);
      this.#ctx.workers.set(info.id, worker);
      this.#ctx.getOrCreatePool(info.pool).workers.add(worker);
      this.#ctx.log(DECISION.workerFound, { bornAt: info.bornAt, pool: info.pool, worker: info.id });
      return;
    }
    this.#updateWorker(known, info, now);
  }

  /** Handles the removal of a worker from the registry. */
  onWorkerDeregistered(id: string): void {
    const worker = this.#ctx.workers.get(id);
    if (worker === undefined || worker.isDeregistered) {
      return;
    }
    worker.isDeregistered = true;
    this.#ctx.log(DECISION.workerRemoved, { runs: worker.runs.size, worker: id });
    this.#removeIfIdle(worker);
  }

  /**
   * Handles the answer that the VM of an emptied worker was taken. A worker that has runs by then came to the
   * VM later, so its own reports or the end of its lease decide about them.
   */
  onWorkerEnded(worker: Worker): void {
    if (!this.#isKept(worker)) {
      return;
    }
    if (worker.runs.size > 0) {
      this.#ctx.log(DECISION.workerKept, { runs: worker.runs.size, worker: worker.info.id });
      return;
    }
    worker.isEvacuating = true;
    worker.isDeregistered = true;
    this.#removeIfIdle(worker);
  }

  /** Applies a report of a worker that was requested at the monotonic time `askedAt`, in ms. */
  onReport(worker: Worker, report: WorkerReport, askedAt: number, now: number): void {
    if (!this.#isKept(worker)) {
      return;
    }
    if (report.bornAt !== worker.info.bornAt) {
      // A report that was requested before the current incarnation became known may be of an earlier one.
      if (askedAt < worker.incarnationKnownAt) {
        return;
      }
      this.#applyInfo(worker, this.#entryOfIncarnation(worker.info, report.bornAt), now);
    }
    worker.updateClock(report.clockMs, now);
    worker.isUnresponsive = false;
    worker.disconnection = undefined;
    worker.isCrashRecorded = false;
    const findings = reconcile(worker, report, askedAt, now);
    worker.isFenced = true;
    for (const row of findings.newEnds) {
      this.#runEnds.handleEnd(worker, row, now);
    }
    this.#runControl.resendStops(worker);
    for (const task of findings.released) {
      this.#runControl.release(task, 'not-listed', now);
    }
    for (const task of findings.unconfirmed) {
      this.#runControl.stop(task, 'order-unanswered', now);
    }
    this.#runControl.stopOrphans(worker, findings.orphans);
    for (const task of worker.runs.values()) {
      this.#runControl.reportRunning(task.job);
    }
    this.#throttle(worker);
    this.#ctx.getOrCreatePool(worker.info.pool).needsAssignment = true;
    this.#removeIfIdle(worker);
  }

  /** Marks a worker as unresponsive after a call without an answer. */
  onWorkerUnresponsive(worker: Worker): void {
    worker.isUnresponsive = true;
  }

  /** Marks a worker as unresponsive after its connection was closed or refused, as when its process ends. */
  onWorkerDisconnected(worker: Worker, now: number): void {
    worker.isUnresponsive = true;
    this.#workerLosses.handleDisconnection(worker, now);
  }

  /** Handles that another worker answers at the address of a worker, whose process has therefore ended. */
  onWorkerReplaced(worker: Worker, now: number): void {
    if (!this.#isKept(worker)) {
      return;
    }
    this.#ctx.log(DECISION.workerReplaced, { runs: worker.runs.size, worker: worker.info.id });
    worker.isDeregistered = true;
    this.#workerLosses.releaseAll(worker, 'worker-replaced', now);
    this.#removeIfIdle(worker);
  }

  /** Whether an order to start a run still has to be sent. */
  isStartPending(order: StartOrder): boolean {
    const { task } = order;
    return task.phase === 'starting' && task.run === order.run && task.worker === order.worker;
  }

  /** Handles the outcome of an order to start a run. */
  onStartAnswer(order: StartOrder, answer: StartAnswer, now: number): void {
    const { task, worker } = order;
    if (task.run !== order.run || task.worker !== worker) {
      return;
    }
    if (answer === START_ANSWER.started) {
      task.applyEvent('confirm', now);
      this.#runControl.reportRunning(task.job);
      return;
    }
    if (answer === START_ANSWER.noAnswer) {
      worker.addUnansweredOrder(order, now);
      task.applyEvent('lose', now);
      worker.isUnresponsive = true;
      return;
    }
    this.#ctx.log(DECISION.orderRefused, { answer, run: order.run, task: task.name, worker: worker.info.id });
    this.#pauseAfterRefusal(worker, answer, now);
    if (task.phase === 'starting' || task.phase === 'stopping') {
      this.#runControl.release(task, answer, now);
    }
  }

  /** Records that a worker acknowledged an order to stop a run. */
  onStopAcknowledged(order: StopOrder, now: number): void {
    const task = order.worker.runs.get(order.task);
    order.worker.orphans.acknowledgeStop(order.task, order.run);
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

  /** Releases runs whose lease has expired, moves stalled runs and adds due occurrences of jobs. */
  tick(now: number, wallNow: number): void {
    for (const worker of [...this.#ctx.workers.values()]) {
      // A responsive worker reports the outcome of its runs itself.
      if (now > worker.leaseEndsAt && (worker.isUnresponsive || worker.isDeregistered)) {
        this.#workerLosses.releaseExpired(worker, now);
        this.#removeIfIdle(worker);
      }
      this.#moveStalledAndLeaving(worker, now);
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
    for (const pool of this.#ctx.pools.values()) {
      if (pool.needsAssignment && assign) {
        pool.needsAssignment = false;
        this.#assigner.assignWaiting(pool, now, wallNow);
      }
    }
    return this.#ctx.takePlan();
  }

  /** Requests a new assignment of tasks in all pools, for example after the pause of a worker has ended. */
  requestAssignment(): void {
    for (const pool of this.#ctx.pools.values()) {
      pool.needsAssignment = true;
    }
  }

  #throttle(worker: Worker): void {
    for (const order of throttleBestEffortTasks(worker)) {
      this.#ctx.pending.throttles.push(order);
      this.#ctx.log(DECISION.throttled, { percent: order.percent, run: order.run, task: order.task });
    }
  }

  // A worker with stalled runs is quarantined.
  #moveStalledAndLeaving(worker: Worker, now: number): void {
    const stalled = findStalledRuns(worker, now);
    for (const task of stalled) {
      this.moveAway(task, 'no-progress', now);
    }
    if (stalled.length > 0) {
      worker.pausedUntil = now + this.#ctx.settings.setAsideMs;
      this.#ctx.log(DECISION.workerQuarantined, { stalled: stalled.length, worker: worker.info.id });
    }
    for (const task of findRunsToMove(worker)) {
      this.moveAway(task, 'worker-leaves', now);
    }
  }

  // A worker that was dropped may have been registered again under its id, as another object.
  #isKept(worker: Worker): boolean {
    return this.#ctx.workers.get(worker.info.id) === worker;
  }

  // A new incarnation may have a smaller capacity. One that does not refuse what exceeds it gets no tasks until its
  // own entry states it.
  #entryOfIncarnation(info: WorkerInfo, bornAt: number): WorkerInfo {
    const refusesExcess = this.#ctx.getPoolConfig(info.pool)?.enforcesCapacity === true;
    const keepsCapacity = refusesExcess || info.bornAt === UNKNOWN_BORN_AT;
    return { ...info, bornAt, capacity: keepsCapacity ? info.capacity : NO_CAPACITY, draining: false };
  }

  #removeIfIdle(worker: Worker): void {
    if (worker.isDeregistered && worker.runs.size === 0 && this.#isKept(worker)) {
      this.#ctx.workers.delete(worker.info.id);
      this.#ctx.getOrCreatePool(worker.info.pool).workers.delete(worker);
    }
  }

  #updateWorker(worker: Worker, info: WorkerInfo, now: number): void {
    if (info.bornAt === worker.previousBornAt) {
      return;
    }
    if (info.bornAt < worker.info.bornAt) {
      // Either an old entry or a new incarnation whose clock is behind: the next report tells which.
      worker.info = { ...worker.info, address: info.address };
      worker.isFenced = false;
      return;
    }
    this.#applyInfo(worker, info, now);
  }

  #applyInfo(worker: Worker, info: WorkerInfo, now: number): void {
    const isUnknown = worker.info.bornAt === UNKNOWN_BORN_AT;
    const restarted = !isUnknown && info.bornAt !== worker.info.bornAt;
    if (info.pool !== worker.info.pool) {
      this.#ctx.getOrCreatePool(worker.info.pool).workers.delete(worker);
      this.#ctx.getOrCreatePool(info.pool).workers.add(worker);
    }
    worker.isDeregistered = false;
    if (!restarted) {
      this.#logResize(worker, info);
      worker.info = info;
      return;
    }
    this.#ctx.log(DECISION.workerRestarted, { bornAt: info.bornAt, runs: worker.runs.size, worker: info.id });
    this.#workerLosses.releaseAfterRestart(worker, now);
    worker.resetForRestart(info, now, this.#ctx.settings.maxLeaseMs);
    worker.isFenced = false;
    // The new incarnation has received no order to stop and would execute a delayed order to start.
    for (const order of worker.unansweredOrders(now)) {
      this.#ctx.pending.stops.push({ ...order, worker });
    }
  }

  #logResize({ info: { capacity: before }, reserved }: Worker, { capacity, id }: WorkerInfo): void {
    if (
      capacity.cpuMilli !== before.cpuMilli ||
      capacity.memoryMb !== before.memoryMb ||
      capacity.gpus !== before.gpus
    ) {
      this.#ctx.log(DECISION.workerResized, { before, capacity, reserved: { ...reserved }, worker: id });
    }
  }

  #pauseAfterRefusal(worker: Worker, answer: StartAnswer, now: number): void {
    const pauseMs =
      answer === START_ANSWER.noCapacity ? this.#ctx.settings.roomPauseMs : this.#ctx.settings.refusedPauseMs;
    if (answer !== START_ANSWER.stale) {
      worker.pausedUntil = Math.max(worker.pausedUntil, now + pauseMs);
    }
  }

  #restore(run: JobRun, records: readonly TaskRecord[], now: number): void {
    const tasks = new Map([...run.tasks()].map((task) => [task.name, task]));
    for (const record of records) {
      tasks.get(record.task)?.restore(record, this.#findOrAddWorker(record), now);
      run.runningReported = true;
    }
    for (const task of run.tasks()) {
      this.#runControl.failIfExhausted(task, now);
    }
  }

  // A worker that is not in the registry may still run its assigned tasks.
  #findOrAddWorker(record: TaskRecord): Worker | undefined {
    if (record.state !== 'assigned') {
      return undefined;
    }
    const known = this.#ctx.workers.get(record.workerId);
    if (known !== undefined) {
      known.leaseEndsAt = Math.max(known.leaseEndsAt, this.#ctx.settings.earlierLeasesEndAt);
      return known;
    }
    const info: WorkerInfo = {
      address: '',
      bornAt: UNKNOWN_BORN_AT,
      capacity: NO_CAPACITY,
      draining: true,
      id: record.workerId,
      labels: [],
      pool: '',
      rack: '',
      zone: '',
    };
    const worker = new Worker(info, this.#ctx.settings.earlierLeasesEndAt);
    worker.isDeregistered = true;
    this.#ctx.workers.set(info.id, worker);
    return worker;
  }
}

// Returns the highest number of an occurrence of which a record exists; -1 if there is none.
function newestOccurrence(records: readonly TaskRecord[]): number {
  return records.reduce((newest, { task }) => Math.max(newest, parseTaskName(task)?.occurrence ?? -1), -1);
}
