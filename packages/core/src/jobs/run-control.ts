import type { KeyedRecord } from './job-record';
import type { JobRun } from './job-run';
import type { TaskRecord } from './run-record';
import type { SchedulerContext } from './scheduler-context';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { Worker } from './worker';
import type { ReportedRun } from './worker-report';
import { JOB_RECORD } from './job-record';
import { encodeTaskRecord, encodeTaskTombstone } from './run-record';
import { DECISION } from './scheduler-output';
import { needsStop } from './stop-repeat';
import { parseTaskName } from './task-name';

/** Number of crashes of a worker that a task may certainly have caused before its job is given up. */
const MAX_CRASHES_CAUSED = 2;

/**
 * Number of crashes of workers that were starting only a task before its job is given up, also if other workers of
 * their zones were lost at the same time: an outage does not hit the start of the same task again and again.
 */
const MAX_CRASHES_ALONE = 3;

/** Most bytes of UTF-8 that a UTF-16 code unit takes. */
const MAX_BYTES_PER_UNIT = 3;

const UTF8 = new TextEncoder();

/** Stops runs, releases tasks and ends jobs, and adds the records and orders for that to the plan. */
export class RunControl {
  constructor(private readonly ctx: SchedulerContext) {}

  /** Ends a job as completed if all its tasks are done. */
  completeIfDone(run: JobRun, now: number): void {
    if (!run.hasEnded && run.isDone) {
      this.endJob(run, 'completed', now);
    }
  }

  /** Ends a job: its runs are stopped and none of its tasks starts again. `cause` is added to the log line. */
  endJob(
    run: JobRun,
    state: 'cancelled' | 'completed' | 'failed',
    now: number,
    cause: Readonly<Record<string, number | string>> = {},
  ): void {
    run.hasEnded = true;
    // A cancellation is already stored when it arrives here.
    run.isEndStored = state === 'cancelled';
    this.ctx.log(DECISION.jobEnded, { job: run.job.id, queue: run.job.queue, state, ...cause });
    if (state !== 'cancelled') {
      this.ctx.pending.states.push({ id: run.job.id, kind: JOB_RECORD.state, state });
    }
    this.ctx.getOrCreatePool(run.job.pool).jobs.delete(run);
    for (const task of run.tasks()) {
      this.stop(task, `job-${state}`, now);
    }
    this.dropRecordsIfIdle(run);
  }

  /**
   * Removes a job and the records of its tasks once its end is stored and none of its tasks is assigned. A
   * later leader that finds neither the end nor the records would run the job again.
   */
  dropRecordsIfIdle(run: JobRun): void {
    if (!run.isEndStored || this.ctx.jobs.get(run.job.id) !== run) {
      return;
    }
    const tasks = [...run.tasks()];
    if (tasks.some((task) => task.worker !== undefined)) {
      return;
    }
    this.ctx.jobs.delete(run.job.id);
    const started = tasks.filter((task) => task.run > 0).map((task) => task.name);
    const done = [...run.steps()].flatMap((step) => [...step.doneNames()]);
    for (const name of [...started, ...done]) {
      this.ctx.pending.records.push(encodeTaskTombstone(name));
    }
  }

  /** Ends the job of a task as failed if the task has failed, or crashed workers, as often as it may. */
  failIfExhausted(task: Task, now: number): void {
    const { crashes, failures, job, name, phase, run, step } = task;
    const limit = this.ctx.getPolicy(job)?.maxAttempts ?? Infinity;
    const hasFailed = !step.spec.longRunning && failures >= limit;
    const crashesWorkers = crashes.caused >= MAX_CRASHES_CAUSED || crashes.alone >= MAX_CRASHES_ALONE;
    if (!job.hasEnded && phase !== 'done' && (hasFailed || crashesWorkers)) {
      const { alone, caused } = crashes;
      const cause = { crashesAlone: alone, crashesCaused: caused, failures, limit, run, task: name };
      this.endJob(job, 'failed', now, cause);
    }
  }

  /** Orders the worker of a task to stop its run. */
  stop(task: Task, reason: string, now: number): void {
    const { worker } = task;
    if (worker === undefined || task.phase === 'stopping') {
      return;
    }
    task.applyEvent('stop', now);
    task.stopAcknowledgedAt = undefined;
    this.ctx.pending.stops.push({ run: task.run, task: task.name, worker });
    this.ctx.log(DECISION.stopped, { reason, run: task.run, task: task.name, worker: worker.info.id });
  }

  /** Orders a worker to stop the orphaned runs of its newest report, until it acknowledges that and ends them. */
  stopOrphans(worker: Worker, rows: readonly ReportedRun[], now: number): void {
    for (const { run, task } of worker.orphans.update(rows, (row) => this.#findStep(worker, row))) {
      this.ctx.log(DECISION.stopped, { reason: 'not-assigned', run, task, worker: worker.info.id });
    }
    for (const { run, task } of rows) {
      if (needsStop(worker.orphans.stopAcknowledgedAt(task, run), now)) {
        this.ctx.pending.stops.push({ run, task, worker });
      }
    }
  }

  /** Sends the stop orders of a worker again that it has not acknowledged, or whose runs have not ended since. */
  resendStops(worker: Worker, now: number): void {
    for (const task of worker.runs.values()) {
      if (task.phase === 'stopping' && needsStop(task.stopAcknowledgedAt, now)) {
        this.ctx.pending.stops.push({ run: task.run, task: task.name, worker });
      }
    }
  }

  /**
   * Releases a task that its worker is known not to run, so that it can be assigned again. `evidence` is added to the
   * log line.
   */
  release(task: Task, reason: string, now: number, evidence: Readonly<Record<string, unknown>> = {}): void {
    const { phase, provenBornAt, run, worker } = task;
    const id = worker?.info.id;
    this.ctx.log(DECISION.lost, {
      reason,
      run,
      task: task.name,
      worker: id,
      phase,
      provenBornAt,
      ...evidence,
    });
    task.applyEvent('release', now);
    this.storeTask(task);
    this.ctx.getOrCreatePool(task.job.job.pool).needsAssignment = true;
    if (task.step.spec.gang) {
      this.stopGang(task.step, now);
    }
  }

  /** Stops the members of a gang that has lost one: the others would only wait for it. */
  stopGang(step: StepRun, now: number): void {
    for (const member of step.tasks()) {
      this.stop(member, 'gang-broken', now);
    }
  }

  /**
   * Finishes the gangs of which one member is done, which stands for all of them: the earlier leader that read its end
   * may not have stored it for the others.
   */
  finishDoneGangs(run: JobRun, now: number): void {
    for (const step of run.steps()) {
      if (step.spec.gang && step.unfinishedCount < step.spec.count) {
        this.finishGang(step, now);
      }
    }
  }

  /** Finishes the members of a gang that are not done. */
  finishGang(step: StepRun, now: number): void {
    for (const member of step.unfinishedTasks()) {
      member.worker?.finishedMembers.add(member, now);
      member.applyEvent('finish', now);
      this.storeTask(member);
    }
  }

  /** Stops the members of gangs of which others wait: the earlier leader that lost these may not have reached them. */
  stopIncompleteGangs(run: JobRun, now: number): void {
    for (const step of run.steps()) {
      if (step.spec.gang && step.waitingCount > 0) {
        this.stopGang(step, now);
      }
    }
  }

  /** Adds the record of a task to the plan. */
  storeTask(task: Task): void {
    this.ctx.pending.records.push(this.#encode(task.toRecord()));
    this.dropRecordsIfIdle(task.job);
  }

  // A run whose gang is done counts as such.
  #findStep(worker: Worker, { run, task }: ReportedRun): StepRun | undefined {
    const name = worker.finishedMembers.has(task, run) ? undefined : parseTaskName(task);
    return name && this.ctx.jobs.get(name.jobId)?.findStep(name);
  }

  // A task whose checkpoint can't be stored starts from the beginning after a change of the leader.
  #encode(record: TaskRecord): KeyedRecord {
    const keyed = encodeTaskRecord(record);
    if (!isLarger(keyed, this.ctx.settings.maxRecordBytes)) {
      return keyed;
    }
    this.ctx.log(DECISION.checkpointNotStored, { length: record.checkpoint.length, task: record.task });
    return encodeTaskRecord({ ...record, checkpoint: '' });
  }

  /** Reports to callers that a job is running, once per job. */
  reportRunning(run: JobRun): void {
    if (!run.runningReported && !run.hasEnded) {
      run.runningReported = true;
      this.ctx.pending.states.push({ id: run.job.id, kind: JOB_RECORD.state, state: 'running' });
    }
  }
}

// The bytes are counted only where the number of UTF-16 code units does not decide.
function isLarger({ key, value = '' }: KeyedRecord, maxBytes: number): boolean {
  const text = key + value;
  return text.length * MAX_BYTES_PER_UNIT > maxBytes && UTF8.encode(text).length > maxBytes;
}
