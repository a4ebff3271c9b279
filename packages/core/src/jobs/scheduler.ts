import type { AdviceLookup } from './assigner';
import type { FleetConfig } from './fleet-config';
import type { Job } from './job-spec';
import type { PoolLoad } from './pool-load';
import type { TaskRecord } from './run-record';
import type { SchedulerSettings } from './scheduler-context';
import type { DecisionLog, Plan, StartOrder, StopOrder } from './scheduler-output';
import type { Task } from './task';
import type { WorkerInfo } from './worker';
import type { StartAnswer, WorkerReport } from './worker-report';
import { Assigner } from './assigner';
import { JobRun } from './job-run';
import { paceFillers } from './pacing';
import { loadOf } from './pool-load';
import { reconcile } from './reconcile';
import { RunControl } from './run-control';
import { RunEnds } from './run-ends';
import { SchedulerContext } from './scheduler-context';
import { DECISION } from './scheduler-output';
import { leavingWith, standingStill } from './standstill';
import { Worker } from './worker';
import { START_ANSWER } from './worker-report';

/** Birth of a worker that is known from stored assignments only. */
const UNKNOWN_BIRTH = 0;

/**
 * Decides which worker runs which task. All input comes as events with a monotonic time; what to do comes
 * out of `plan`. The leader owns the only scheduler that acts: its records are stored under a condition
 * before its orders are sent, and workers refuse the orders of earlier terms.
 */
export class Scheduler {
  readonly #assigner: Assigner;
  readonly #control: RunControl;
  readonly #ctx: SchedulerContext;
  readonly #ends: RunEnds;

  constructor(settings: SchedulerSettings, log: DecisionLog, advice: AdviceLookup = () => new Set()) {
    this.#ctx = new SchedulerContext(settings, log);
    this.#control = new RunControl(this.#ctx);
    this.#ends = new RunEnds(this.#ctx, this.#control);
    this.#assigner = new Assigner(this.#ctx, this.#control, advice);
  }

  /** Workers that are known, with those that have left but may still run something. */
  get workers(): ReadonlyMap<string, Worker> {
    return this.#ctx.workers;
  }

  /** Jobs that have not ended. */
  get jobs(): ReadonlyMap<string, JobRun> {
    return this.#ctx.jobs;
  }

  /** Loads of the configured pools at a monotonic time, in ms. */
  loads(now: number): PoolLoad[] {
    const configured = this.#ctx.cfg?.pools ?? [];
    return configured.map(({ name }) => loadOf(name, this.#ctx.pool(name), now));
  }

  /** Takes a configuration. */
  onConfig(cfg: FleetConfig): void {
    this.#ctx.cfg = cfg;
    this.reconsider();
  }

  /** Takes an accepted job; records of an earlier term tell how far its tasks are. */
  onJob(job: Job, records: readonly TaskRecord[], now: number, wallNow: number): void {
    if (this.#ctx.jobs.has(job.id)) {
      return;
    }
    const run = new JobRun(job);
    run.addDue(wallNow);
    this.#ctx.jobs.set(job.id, run);
    const pool = this.#ctx.pool(job.pool);
    pool.jobs.add(run);
    pool.dirty = true;
    this.#restore(run, records, now);
    this.#control.endIfDone(run, now);
  }

  /** Takes the cancelling of a job. */
  onCancel(id: string, now: number): void {
    const run = this.#ctx.jobs.get(id);
    if (run !== undefined && !run.ended) {
      this.#control.endJob(run, 'cancelled', now);
    }
  }

  /** Takes a worker's entry in the registry. */
  onWorker(info: WorkerInfo, now: number): void {
    const known = this.#ctx.workers.get(info.id);
    if (known === undefined) {
      const worker = new Worker(info, now);
      this.#ctx.workers.set(info.id, worker);
      this.#ctx.pool(info.pool).workers.add(worker);
      this.#ctx.log(DECISION.workerFound, { bornAt: info.bornAt, pool: info.pool, worker: info.id });
      return;
    }
    this.#updateWorker(known, info, now);
  }

  /** Takes the removal of a worker from the registry. */
  onWorkerGone(id: string): void {
    const worker = this.#ctx.workers.get(id);
    if (worker === undefined || worker.gone) {
      return;
    }
    worker.gone = true;
    this.#ctx.log(DECISION.workerRemoved, { runs: worker.runs.size, worker: id });
    this.#dropIfIdle(worker);
  }

  /** Takes the end of a worker's life: nothing runs on it any more. */
  onWorkerEnded(worker: Worker, now: number): void {
    worker.evacuating = true;
    worker.gone = true;
    for (const task of [...worker.runs.values()]) {
      this.#control.release(task, 'worker-ended', now);
    }
    this.#dropIfIdle(worker);
  }

  /** Takes a worker's answer about its runs, which was asked for at a monotonic time. */
  onReport(worker: Worker, report: WorkerReport, askedAt: number, now: number): void {
    if (report.bornAt !== worker.info.bornAt) {
      this.#updateWorker(worker, { ...worker.info, bornAt: report.bornAt, draining: false }, now);
    }
    worker.readClock(report.clockMs, now);
    worker.silent = false;
    const findings = reconcile(worker, report, askedAt, now);
    worker.fenced = true;
    for (const row of findings.ends) {
      this.#ends.onEnd(worker, row, now);
    }
    this.#control.repeatStops(worker);
    for (const task of findings.released) {
      this.#control.release(task, 'not-listed', now);
    }
    for (const task of findings.unsure) {
      this.#control.stop(task, 'order-unanswered', now);
    }
    for (const row of findings.strays) {
      this.#control.stopStray(worker, row);
    }
    for (const task of worker.runs.values()) {
      this.#control.tellRunning(task.job);
    }
    this.#pace(worker);
    this.#ctx.pool(worker.info.pool).dirty = true;
    this.#dropIfIdle(worker);
  }

  /** Takes the failure of a call to a worker to bring any answer. */
  onSilence(worker: Worker): void {
    worker.silent = true;
  }

  /** Whether an order to start a run is still to be sent. */
  isCurrent(order: StartOrder): boolean {
    const { task } = order;
    return task.phase === 'starting' && task.run === order.run && task.worker === order.worker;
  }

  /** Takes the answer to an order to start a run. */
  onStartAnswer(order: StartOrder, answer: StartAnswer, now: number): void {
    const { task, worker } = order;
    if (task.run !== order.run || task.worker !== worker) {
      return;
    }
    if (answer === START_ANSWER.started) {
      task.advance('confirm', now);
      this.#control.tellRunning(task.job);
      return;
    }
    if (answer === START_ANSWER.silent) {
      worker.noteUnanswered(order, now);
      task.advance('lose', now);
      worker.silent = true;
      return;
    }
    this.#ctx.log(DECISION.orderRefused, { answer, run: order.run, task: task.name, worker: worker.info.id });
    this.#pauseAfter(worker, answer, now);
    if (task.phase === 'starting' || task.phase === 'stopping') {
      this.#control.release(task, answer, now);
    }
  }

  /** Takes the worker's acknowledgement of an order to stop a run. */
  onStopAnswer(order: StopOrder, now: number): void {
    const task = order.worker.runs.get(order.task);
    if (task?.run === order.run && task.phase === 'stopping') {
      task.stoppedAt = now;
    }
  }

  /** Takes the storage of a state in which a job ended: what is known of its tasks may go. */
  onEndStored(id: string): void {
    const run = this.#ctx.jobs.get(id);
    if (run?.ended === true) {
      run.endStored = true;
      this.#control.forgetIfIdle(run);
    }
  }

  /** Stops a run so that its task goes on elsewhere. */
  moveAway(task: Task, reason: string, now: number): void {
    if (task.phase === 'running') {
      this.#ctx.log(DECISION.evacuated, {
        reason,
        run: task.run,
        task: task.name,
        worker: task.worker?.info.id,
      });
      this.#control.stop(task, reason, now);
    }
  }

  /** Ends what can't run any more, starts due occurrences and releases runs whose lease has ended. */
  tick(now: number, wallNow: number): void {
    for (const worker of [...this.#ctx.workers.values()]) {
      // A worker that answers tells itself what became of its runs.
      if (now > worker.leaseEndsAt && (worker.silent || worker.gone)) {
        this.#onLeaseEnd(worker, now);
      }
      this.#moveStalled(worker, now);
    }
    for (const run of this.#ctx.jobs.values()) {
      if (run.addDue(wallNow)) {
        this.#ctx.pool(run.job.pool).dirty = true;
      }
    }
  }

  /**
   * Gives what is to be done since the last call. Assigns tasks unless `assign` is false, as when
   * assignments could not be stored soon.
   */
  plan(now: number, wallNow: number, assign = true): Plan {
    for (const pool of this.#ctx.pools.values()) {
      if (pool.dirty && assign) {
        pool.dirty = false;
        this.#assigner.assignIn(pool, now, wallNow);
      }
    }
    return this.#ctx.takePlan();
  }

  /** Marks all pools for assignment, for example after a pause of a worker has ended. */
  reconsider(): void {
    for (const pool of this.#ctx.pools.values()) {
      pool.dirty = true;
    }
  }

  #pace(worker: Worker): void {
    for (const order of paceFillers(worker)) {
      this.#ctx.out.paces.push(order);
      this.#ctx.log(DECISION.paced, { percent: order.percent, run: order.run, task: order.task });
    }
  }

  // A worker on which runs stand still gets none for a while.
  #moveStalled(worker: Worker, now: number): void {
    const stalled = standingStill(worker, now);
    for (const task of stalled) {
      this.moveAway(task, 'no-progress', now);
    }
    if (stalled.length > 0) {
      worker.pausedUntil = now + this.#ctx.settings.setAsideMs;
      this.#ctx.log(DECISION.workerPaused, { stalled: stalled.length, worker: worker.info.id });
    }
    for (const task of leavingWith(worker)) {
      this.moveAway(task, 'worker-leaves', now);
    }
  }

  #onLeaseEnd(worker: Worker, now: number): void {
    for (const task of [...worker.runs.values()]) {
      // An order that has not been sent extends no lease.
      if (task.phase !== 'starting') {
        this.#control.release(task, 'lease-ended', now);
      }
    }
    this.#dropIfIdle(worker);
  }

  #dropIfIdle(worker: Worker): void {
    if (worker.gone && worker.runs.size === 0) {
      this.#ctx.workers.delete(worker.info.id);
      this.#ctx.pool(worker.info.pool).workers.delete(worker);
    }
  }

  #updateWorker(worker: Worker, info: WorkerInfo, now: number): void {
    if (info.bornAt < worker.info.bornAt) {
      return;
    }
    const isUnknown = worker.info.bornAt === UNKNOWN_BIRTH;
    const restarted = !isUnknown && info.bornAt > worker.info.bornAt;
    if (info.pool !== worker.info.pool) {
      this.#ctx.pool(worker.info.pool).workers.delete(worker);
      this.#ctx.pool(info.pool).workers.add(worker);
    }
    worker.gone = false;
    if (!restarted) {
      worker.info = info;
      return;
    }
    this.#ctx.log(DECISION.workerRestarted, { bornAt: info.bornAt, runs: worker.runs.size, worker: info.id });
    worker.restart(info);
    worker.fenced = false;
    // The new life knows of no order to stop, and would carry out a late order to start.
    for (const order of worker.unanswered(now)) {
      this.#ctx.out.stops.push({ ...order, worker });
    }
    this.#onRestart(worker, now);
  }

  // What ran in the earlier life has ended. An order that is on its way may reach the new life.
  #onRestart(worker: Worker, now: number): void {
    for (const task of [...worker.runs.values()]) {
      if (task.phase === 'running' || task.restored) {
        this.#control.release(task, 'worker-restarted', now);
      } else {
        task.stoppedAt = undefined;
        task.advance('lose', now);
      }
    }
  }

  #pauseAfter(worker: Worker, answer: StartAnswer, now: number): void {
    const pauseMs =
      answer === START_ANSWER.room ? this.#ctx.settings.roomPauseMs : this.#ctx.settings.refusedPauseMs;
    if (answer !== START_ANSWER.stale) {
      worker.pausedUntil = Math.max(worker.pausedUntil, now + pauseMs);
    }
  }

  #restore(run: JobRun, records: readonly TaskRecord[], now: number): void {
    const tasks = new Map([...run.tasks()].map((task) => [task.name, task]));
    for (const record of records) {
      tasks.get(record.task)?.restore(record, this.#workerOfRecord(record), now);
      run.toldRunning = true;
    }
    const limit = this.#ctx.queueOf(run)?.maxAttempts ?? Infinity;
    const hasFailed = [...run.tasks()].some(
      (task) => !task.step.spec.longRunning && task.phase !== 'done' && task.failures >= limit,
    );
    if (hasFailed) {
      this.#control.endJob(run, 'failed', now);
    }
  }

  // A worker that the registry doesn't list may still run what it was assigned.
  #workerOfRecord(record: TaskRecord): Worker | undefined {
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
      bornAt: UNKNOWN_BIRTH,
      capacity: { cpuMilli: 0, gpus: 0, memoryMb: 0 },
      draining: true,
      id: record.workerId,
      labels: [],
      pool: '',
      rack: '',
      zone: '',
    };
    const worker = new Worker(info, this.#ctx.settings.earlierLeasesEndAt);
    worker.gone = true;
    this.#ctx.workers.set(info.id, worker);
    return worker;
  }
}
