import type { JobRun } from './job-run';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import type { RunningRow } from './worker-report';
import { JOB_RECORD } from './job-record';
import { encodeTaskRecord, forgetTaskRecord } from './run-record';
import { DECISION } from './scheduler-output';

/** Steps by which runs are stopped, tasks given back and jobs ended, each with its records and orders. */
export class RunControl {
  constructor(private readonly ctx: SchedulerContext) {}

  /** Ends a job whose tasks are all done. */
  endIfDone(run: JobRun, now: number): void {
    if (!run.ended && run.isDone) {
      this.endJob(run, 'completed', now);
    }
  }

  /** Ends a job: no task of it starts any more, and its runs are stopped. */
  endJob(run: JobRun, state: 'cancelled' | 'completed' | 'failed', now: number): void {
    run.ended = true;
    // The cancelling itself is stored already.
    run.endStored = state === 'cancelled';
    this.ctx.log(DECISION.jobEnded, { job: run.job.id, queue: run.job.queue, state });
    if (state !== 'cancelled') {
      this.ctx.out.states.push({ id: run.job.id, kind: JOB_RECORD.state, state });
    }
    this.ctx.pool(run.job.pool).jobs.delete(run);
    for (const task of run.tasks()) {
      this.stop(task, `job-${state}`, now);
    }
    this.forgetIfIdle(run);
  }

  /**
   * Drops the records of a job's tasks once its end is stored and none of them is assigned any more: a
   * leader that finds neither would run the job again.
   */
  forgetIfIdle(run: JobRun): void {
    if (!run.endStored || this.ctx.jobs.get(run.job.id) !== run) {
      return;
    }
    const tasks = [...run.tasks()];
    if (tasks.some((task) => task.worker !== undefined)) {
      return;
    }
    this.ctx.jobs.delete(run.job.id);
    for (const task of tasks) {
      if (task.run > 0) {
        this.ctx.out.records.push(forgetTaskRecord(task.name));
      }
    }
  }

  /** Orders the run of a task to be stopped. */
  stop(task: Task, reason: string, now: number): void {
    const { worker } = task;
    if (worker === undefined || task.phase === 'stopping') {
      return;
    }
    task.advance('stop', now);
    task.stoppedAt = undefined;
    this.ctx.out.stops.push({ run: task.run, task: task.name, worker });
    this.ctx.log(DECISION.stopped, { reason, run: task.run, task: task.name, worker: worker.info.id });
  }

  /** Orders a run to be stopped that nobody should run. */
  stopStray(worker: Worker, row: RunningRow): void {
    this.ctx.out.stops.push({ run: row.run, task: row.task, worker });
    this.ctx.log(DECISION.stopped, {
      reason: 'not-assigned',
      run: row.run,
      task: row.task,
      worker: worker.info.id,
    });
  }

  /** Repeats the orders to stop that had no answer: they may have been lost on their way. */
  repeatStops(worker: Worker): void {
    for (const task of worker.runs.values()) {
      if (task.phase === 'stopping' && task.stoppedAt === undefined) {
        this.ctx.out.stops.push({ run: task.run, task: task.name, worker });
      }
    }
  }

  /** Gives a task up that its worker surely does not run, so that it can be assigned again. */
  release(task: Task, reason: string, now: number): void {
    const { run, worker } = task;
    this.ctx.log(DECISION.lost, { reason, run, task: task.name, worker: worker?.info.id });
    task.advance('release', now);
    this.store(task);
    this.ctx.pool(task.job.job.pool).dirty = true;
  }

  /** Stores what is known about a task. */
  store(task: Task): void {
    this.ctx.out.records.push(encodeTaskRecord(task.toRecord()));
    this.forgetIfIdle(task.job);
  }

  /** Tells callers that a job is running, once. */
  tellRunning(run: JobRun): void {
    if (!run.toldRunning && !run.ended) {
      run.toldRunning = true;
      this.ctx.out.states.push({ id: run.job.id, kind: JOB_RECORD.state, state: 'running' });
    }
  }
}
