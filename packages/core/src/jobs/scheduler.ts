import type { FleetConfig, QueueConfig } from './fleet-config';
import type { StateRecord } from './job-record';
import type { StepRun } from './job-run';
import type { Job } from './job-spec';
import type { AllowedWorkers } from './placement';
import type { PoolLoad } from './pool-load';
import type { TaskRecord } from './run-record';
import type { DecisionLog, Plan, StartOrder, StopOrder } from './scheduler-output';
import type { Task } from './task';
import type { WorkerInfo } from './worker';
import type { EndRow, RunningRow, StartAnswer, WorkerReport } from './worker-report';
import { JOB_RECORD } from './job-record';
import { JobRun } from './job-run';
import { paceFillers } from './pacing';
import { chooseForGang, chooseWorker } from './placement';
import { loadOf } from './pool-load';
import { PoolState } from './pool-state';
import { reconcile } from './reconcile';
import { encodeTaskRecord, forgetTaskRecord } from './run-record';
import { RunTimes } from './run-times';
import { DECISION } from './scheduler-output';
import { leavingWith, standingStill } from './standstill';
import { parseTaskName } from './task-name';
import { Worker } from './worker';
import { RUN_END, START_ANSWER } from './worker-report';

/** Settings of the scheduler. */
export interface SchedulerSettings {
  /** Monotonic time after which nothing runs by the orders of earlier terms, in ms. */
  earlierLeasesEndAt: number;
  /** Time for which a worker that refused an order gets none, in ms. */
  refusedPauseMs: number;
  /** Time for which a worker without room gets no order, in ms. */
  roomPauseMs: number;
  /** Failed runs in a row after which a worker is set aside. */
  setAsideAfter: number;
  /** Time for which a worker is set aside, in ms. */
  setAsideMs: number;
}

/** Birth of a worker that is known from stored assignments only. */
const UNKNOWN_BIRTH = 0;

/** Which workers may run a step of a queue with advice; undefined while that is not known. */
export type AdviceLookup = (queue: QueueConfig, step: StepRun, workers: readonly Worker[]) => AllowedWorkers;

/**
 * Decides which worker runs which task. All input comes as events with a monotonic time; what to do comes
 * out of `plan`. The leader owns the only scheduler that acts: its records are stored under a condition
 * before its orders are sent, and workers refuse the orders of earlier terms.
 */
export class Scheduler {
  #cfg: FleetConfig | undefined;
  readonly #jobs = new Map<string, JobRun>();
  #out = emptyPlan();
  readonly #pools = new Map<string, PoolState>();
  readonly #times = new RunTimes();
  readonly #workers = new Map<string, Worker>();

  constructor(
    private readonly settings: SchedulerSettings,
    private readonly log: DecisionLog,
    private readonly advice: AdviceLookup = () => new Set(),
  ) {}

  /** Workers that are known, with those that have left but may still run something. */
  get workers(): ReadonlyMap<string, Worker> {
    return this.#workers;
  }

  /** Jobs that have not ended. */
  get jobs(): ReadonlyMap<string, JobRun> {
    return this.#jobs;
  }

  /** Loads of all pools at a monotonic time, in ms. */
  loads(now: number): PoolLoad[] {
    return [...this.#pools].map(([name, pool]) => loadOf(name, pool, now));
  }

  /** Takes a configuration. */
  onConfig(cfg: FleetConfig): void {
    this.#cfg = cfg;
    this.reconsider();
  }

  /** Takes an accepted job; records of an earlier term tell how far its tasks are. */
  onJob(job: Job, records: readonly TaskRecord[], now: number, wallNow: number): void {
    if (this.#jobs.has(job.id)) {
      return;
    }
    const run = new JobRun(job);
    run.addDue(wallNow);
    this.#jobs.set(job.id, run);
    const pool = this.#pool(job.pool);
    pool.jobs.add(run);
    pool.dirty = true;
    this.#restore(run, records, now);
    this.#endIfDone(run, now);
  }

  /** Takes the cancelling of a job. */
  onCancel(id: string, now: number): void {
    const run = this.#jobs.get(id);
    if (run !== undefined && !run.ended) {
      this.#endJob(run, 'cancelled', now);
    }
  }

  /** Takes a worker's entry in the registry. */
  onWorker(info: WorkerInfo, now: number): void {
    const known = this.#workers.get(info.id);
    if (known === undefined) {
      const worker = new Worker(info, now);
      this.#workers.set(info.id, worker);
      this.#pool(info.pool).workers.add(worker);
      this.log(DECISION.workerFound, { bornAt: info.bornAt, pool: info.pool, worker: info.id });
      return;
    }
    this.#updateWorker(known, info, now);
  }

  /** Takes the removal of a worker from the registry. */
  onWorkerGone(id: string): void {
    const worker = this.#workers.get(id);
    if (worker === undefined || worker.gone) {
      return;
    }
    worker.gone = true;
    this.log(DECISION.workerRemoved, { runs: worker.runs.size, worker: id });
    this.#dropIfIdle(worker);
  }

  /** Takes the end of a worker's life: nothing runs on it any more. */
  onWorkerEnded(worker: Worker, now: number): void {
    worker.evacuating = true;
    worker.gone = true;
    for (const task of [...worker.runs.values()]) {
      this.#release(task, 'worker-ended', now);
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
      this.#onEnd(worker, row, now);
    }
    this.#retellStops(worker);
    for (const task of findings.released) {
      this.#release(task, 'not-listed', now);
    }
    for (const task of findings.unsure) {
      this.#stop(task, 'order-unanswered', now);
    }
    for (const row of findings.strays) {
      this.#stopStray(worker, row);
    }
    for (const task of worker.runs.values()) {
      this.#tellRunning(task.job);
    }
    this.#pace(worker);
    this.#pool(worker.info.pool).dirty = true;
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
      this.#tellRunning(task.job);
      return;
    }
    if (answer === START_ANSWER.silent) {
      task.advance('lose', now);
      worker.silent = true;
      return;
    }
    this.log(DECISION.orderRefused, { answer, run: order.run, task: task.name, worker: worker.info.id });
    this.#pauseAfter(worker, answer, now);
    if (task.phase === 'starting' || task.phase === 'stopping') {
      this.#release(task, answer, now);
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
    const run = this.#jobs.get(id);
    if (run?.ended === true) {
      run.endStored = true;
      this.#forgetIfIdle(run);
    }
  }

  /** Stops a run so that its task goes on elsewhere. */
  moveAway(task: Task, reason: string, now: number): void {
    if (task.phase === 'running') {
      this.log(DECISION.evacuated, { reason, run: task.run, task: task.name, worker: task.worker?.info.id });
      this.#stop(task, reason, now);
    }
  }

  /** Ends what can't run any more, starts due occurrences and releases runs whose lease has ended. */
  tick(now: number, wallNow: number): void {
    for (const worker of [...this.#workers.values()]) {
      if (now > worker.leaseEndsAt) {
        this.#onLeaseEnd(worker, now);
      }
      this.#moveStalled(worker, now);
    }
    for (const run of this.#jobs.values()) {
      if (run.addDue(wallNow)) {
        this.#pool(run.job.pool).dirty = true;
      }
    }
  }

  /**
   * Gives what is to be done since the last call. Assigns tasks unless `assign` is false, as when
   * assignments could not be stored soon.
   */
  plan(now: number, wallNow: number, assign = true): Plan {
    for (const pool of this.#pools.values()) {
      if (pool.dirty && assign) {
        pool.dirty = false;
        this.#assignIn(pool, now, wallNow);
      }
    }
    const plan = this.#out;
    this.#out = emptyPlan();
    return plan;
  }

  /** Marks all pools for assignment, for example after a pause of a worker has ended. */
  reconsider(): void {
    for (const pool of this.#pools.values()) {
      pool.dirty = true;
    }
  }

  #assignIn(pool: PoolState, now: number, wallNow: number): void {
    const workers = pool.openWorkers(now);
    if (workers.length === 0) {
      return;
    }
    const queueOf = (run: JobRun): QueueConfig | undefined => this.#queueOf(run);
    for (const run of pool.waitingJobs(queueOf, this.#times, wallNow)) {
      for (const step of run.readySteps()) {
        this.#assignStep(run, step, workers, now);
      }
    }
  }

  #assignStep(run: JobRun, step: StepRun, workers: Worker[], now: number): void {
    const queue = this.#queueOf(run);
    const allowed = queue?.advice === undefined ? undefined : this.advice(queue, step, workers);
    if (allowed?.size === 0) {
      return;
    }
    if (step.spec.gang) {
      this.#assignGang(step, workers, allowed, now);
      return;
    }
    for (const task of step.tasks) {
      if (task.phase === 'waiting') {
        const worker = chooseWorker(task, workers, allowed);
        if (worker === undefined) {
          return;
        }
        this.#assign(task, worker, task.run + 1, now);
      }
    }
  }

  #assignGang(step: StepRun, workers: Worker[], allowed: AllowedWorkers, now: number): void {
    if (step.waiting < step.tasks.length) {
      return;
    }
    const chosen = chooseForGang(step, workers, allowed);
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    for (const [task, worker] of chosen ?? []) {
      task.checkpoint = checkpoint;
      this.#assign(task, worker, run, now);
    }
  }

  #assign(task: Task, worker: Worker, run: number, now: number): void {
    task.assign(worker, run, now);
    this.#store(task);
    this.#out.starts.push({ run, task, worker });
    this.log(DECISION.assigned, {
      freeCpuMilli: worker.freeCpuMilli,
      pool: worker.info.pool,
      run,
      task: task.name,
      worker: worker.info.id,
    });
  }

  #onEnd(worker: Worker, row: EndRow, now: number): void {
    worker.endsRead = row.number;
    this.#noteEnds(worker);
    const task = this.#findTask(row.task);
    const { end, run } = row;
    this.log(DECISION.ended, { end, known: task !== undefined, run, task: row.task, worker: worker.info.id });
    if (task === undefined || !this.#isNewest(task, worker, row)) {
      return;
    }
    if (row.checkpoint !== '') {
      task.checkpoint = row.checkpoint;
    }
    if (end === RUN_END.done) {
      this.#onDone(task, worker, now);
    } else {
      this.#onNotDone(task, worker, end, now);
    }
    this.#store(task);
    this.#endIfDone(task.job, now);
  }

  // An end of a run that had been given up counts while no later run has been assigned.
  #isNewest(task: Task, worker: Worker, row: EndRow): boolean {
    return task.run === row.run && (task.worker === worker || task.phase === 'waiting');
  }

  #onDone(task: Task, worker: Worker, now: number): void {
    worker.failuresInRow = 0;
    if (task.phase === 'running') {
      this.#times.done(task.job.job.queue, now - task.phaseSince);
    }
    if (task.step.spec.longRunning) {
      task.advance('release', now);
      return;
    }
    const finished = task.step.spec.gang ? task.step.tasks : [task];
    for (const member of finished) {
      member.advance('finish', now);
      this.#store(member);
    }
    this.#pool(task.job.job.pool).dirty = true;
  }

  #onNotDone(task: Task, worker: Worker, end: EndRow['end'], now: number): void {
    task.advance('release', now);
    if (end === RUN_END.failed) {
      task.failures += 1;
      task.lastFailedOn = worker.info.id;
      this.#onFailure(task, worker, now);
    }
    if (task.step.spec.gang) {
      for (const member of task.step.tasks) {
        this.#stop(member, 'gang-broken', now);
      }
    }
  }

  #onFailure(task: Task, worker: Worker, now: number): void {
    worker.failuresInRow += 1;
    if (worker.failuresInRow >= this.settings.setAsideAfter) {
      worker.pausedUntil = now + this.settings.setAsideMs;
      this.log(DECISION.workerPaused, { failuresInRow: worker.failuresInRow, worker: worker.info.id });
    }
    const limit = this.#queueOf(task.job)?.maxAttempts ?? Infinity;
    if (!task.step.spec.longRunning && task.failures >= limit && !task.job.ended) {
      this.#endJob(task.job, 'failed', now);
    }
  }

  #endIfDone(run: JobRun, now: number): void {
    if (!run.ended && run.isDone) {
      this.#endJob(run, 'completed', now);
    }
  }

  #endJob(run: JobRun, state: 'cancelled' | 'completed' | 'failed', now: number): void {
    run.ended = true;
    // The cancelling itself is stored already.
    run.endStored = state === 'cancelled';
    this.log(DECISION.jobEnded, { job: run.job.id, queue: run.job.queue, state });
    if (state !== 'cancelled') {
      this.#tell({ id: run.job.id, kind: JOB_RECORD.state, state });
    }
    this.#pool(run.job.pool).jobs.delete(run);
    for (const task of run.tasks()) {
      this.#stop(task, `job-${state}`, now);
    }
    this.#forgetIfIdle(run);
  }

  // The records of a job's tasks go when its end is stored and none of them is assigned any more:
  // a leader that finds neither would run the job again.
  #forgetIfIdle(run: JobRun): void {
    const tasks = [...run.tasks()];
    if (!run.endStored || tasks.some((task) => task.worker !== undefined)) {
      return;
    }
    this.#jobs.delete(run.job.id);
    for (const task of tasks) {
      if (task.run > 0) {
        this.#out.records.push(forgetTaskRecord(task.name));
      }
    }
  }

  #stop(task: Task, reason: string, now: number): void {
    const { worker } = task;
    if (worker === undefined || task.phase === 'stopping') {
      return;
    }
    task.advance('stop', now);
    task.stoppedAt = undefined;
    this.#out.stops.push({ run: task.run, task: task.name, worker });
    this.log(DECISION.stopped, { reason, run: task.run, task: task.name, worker: worker.info.id });
  }

  // An order to stop may have been lost on its way.
  #retellStops(worker: Worker): void {
    for (const task of worker.runs.values()) {
      if (task.phase === 'stopping' && task.stoppedAt === undefined) {
        this.#out.stops.push({ run: task.run, task: task.name, worker });
      }
    }
  }

  #pace(worker: Worker): void {
    for (const order of paceFillers(worker)) {
      this.#out.paces.push(order);
      this.log(DECISION.paced, { percent: order.percent, run: order.run, task: order.task });
    }
  }

  // A worker on which runs stand still gets none for a while.
  #moveStalled(worker: Worker, now: number): void {
    const stalled = standingStill(worker, now);
    for (const task of stalled) {
      this.moveAway(task, 'no-progress', now);
    }
    if (stalled.length > 0) {
      worker.pausedUntil = now + this.settings.setAsideMs;
      this.log(DECISION.workerPaused, { stalled: stalled.length, worker: worker.info.id });
    }
    for (const task of leavingWith(worker)) {
      this.moveAway(task, 'worker-leaves', now);
    }
  }

  #stopStray(worker: Worker, row: RunningRow): void {
    this.#out.stops.push({ run: row.run, task: row.task, worker });
    this.log(DECISION.stopped, {
      reason: 'not-assigned',
      run: row.run,
      task: row.task,
      worker: worker.info.id,
    });
  }

  #release(task: Task, reason: string, now: number): void {
    const { run, worker } = task;
    this.log(DECISION.lost, { reason, run, task: task.name, worker: worker?.info.id });
    task.advance('release', now);
    this.#store(task);
    this.#pool(task.job.job.pool).dirty = true;
    this.#forgetIfIdle(task.job);
  }

  #onLeaseEnd(worker: Worker, now: number): void {
    for (const task of [...worker.runs.values()]) {
      // An order that has not been sent extends no lease.
      if (task.phase !== 'starting') {
        this.#release(task, 'lease-ended', now);
      }
    }
    this.#dropIfIdle(worker);
  }

  #dropIfIdle(worker: Worker): void {
    if (worker.gone && worker.runs.size === 0) {
      this.#workers.delete(worker.info.id);
      this.#pool(worker.info.pool).workers.delete(worker);
    }
  }

  #updateWorker(worker: Worker, info: WorkerInfo, now: number): void {
    if (info.bornAt < worker.info.bornAt) {
      return;
    }
    const isUnknown = worker.info.bornAt === UNKNOWN_BIRTH;
    const restarted = !isUnknown && info.bornAt > worker.info.bornAt;
    if (info.pool !== worker.info.pool) {
      this.#pool(worker.info.pool).workers.delete(worker);
      this.#pool(info.pool).workers.add(worker);
    }
    worker.gone = false;
    if (!restarted) {
      worker.info = info;
      return;
    }
    this.log(DECISION.workerRestarted, { bornAt: info.bornAt, runs: worker.runs.size, worker: info.id });
    worker.restart(info);
    worker.fenced = false;
    this.#onRestart(worker, now);
  }

  // What ran in the earlier life has ended. An order that is on its way may reach the new life.
  #onRestart(worker: Worker, now: number): void {
    for (const task of [...worker.runs.values()]) {
      if (task.phase === 'running' || task.restored) {
        this.#release(task, 'worker-restarted', now);
      } else {
        task.stoppedAt = undefined;
        task.advance('lose', now);
      }
    }
  }

  #pauseAfter(worker: Worker, answer: StartAnswer, now: number): void {
    const pauseMs = answer === START_ANSWER.room ? this.settings.roomPauseMs : this.settings.refusedPauseMs;
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
    const limit = this.#queueOf(run)?.maxAttempts ?? Infinity;
    const hasFailed = [...run.tasks()].some(
      (task) => !task.step.spec.longRunning && task.phase !== 'done' && task.failures >= limit,
    );
    if (hasFailed) {
      this.#endJob(run, 'failed', now);
    }
  }

  // A worker that the registry doesn't list may still run what it was assigned.
  #workerOfRecord(record: TaskRecord): Worker | undefined {
    if (record.state !== 'assigned') {
      return undefined;
    }
    const known = this.#workers.get(record.workerId);
    if (known !== undefined) {
      known.leaseEndsAt = Math.max(known.leaseEndsAt, this.settings.earlierLeasesEndAt);
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
    const worker = new Worker(info, this.settings.earlierLeasesEndAt);
    worker.gone = true;
    this.#workers.set(info.id, worker);
    return worker;
  }

  #findTask(text: string): Task | undefined {
    const name = parseTaskName(text);
    if (name === undefined) {
      return undefined;
    }
    const occurrence = this.#jobs.get(name.jobId)?.occurrences[name.occurrence];
    return occurrence?.steps[name.step]?.tasks[name.index];
  }

  #noteEnds(worker: Worker): void {
    const { bornAt } = worker.info;
    const ends = this.#out.ends.find((item) => item.worker === worker && item.bornAt === bornAt);
    if (ends === undefined) {
      this.#out.ends.push({ bornAt, number: worker.endsRead, worker });
    } else {
      ends.number = worker.endsRead;
    }
  }

  #tell(record: StateRecord): void {
    this.#out.states.push(record);
  }

  #tellRunning(run: JobRun): void {
    if (!run.toldRunning && !run.ended) {
      run.toldRunning = true;
      this.#tell({ id: run.job.id, kind: JOB_RECORD.state, state: 'running' });
    }
  }

  #store(task: Task): void {
    this.#out.records.push(encodeTaskRecord(task.toRecord()));
    this.#forgetIfIdle(task.job);
  }

  #pool(name: string): PoolState {
    const known = this.#pools.get(name);
    if (known !== undefined) {
      return known;
    }
    const pool = new PoolState();
    this.#pools.set(name, pool);
    return pool;
  }

  #queueOf(run: JobRun): QueueConfig | undefined {
    return this.#cfg?.queues.find((queue) => queue.name === run.job.queue);
  }
}

function emptyPlan(): Plan {
  return { ends: [], paces: [], records: [], starts: [], states: [], stops: [] };
}
