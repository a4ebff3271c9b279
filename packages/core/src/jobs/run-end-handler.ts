import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import type { WorkerQuarantine } from './worker-quarantine';
import type { ReportedEnd } from './worker-report';
import { slowdownOn } from './expected-run-ends';
import { DECISION } from './scheduler-output';
import { parseTaskName } from './task-name';
import { RUN_END } from './worker-report';

/** Updates the task, the job and the worker of a run that has ended. */
export class RunEndHandler {
  constructor(
    private readonly ctx: SchedulerContext,
    private readonly runControl: RunControl,
    private readonly quarantine: WorkerQuarantine,
  ) {}

  /** Handles the end of a run that was not read before. */
  handleEnd(worker: Worker, row: ReportedEnd, now: number): void {
    worker.endsRead = row.number;
    this.ctx.addReadEnds(worker);
    const task = this.#findTask(row.task);
    const isCounted = task !== undefined && this.#isExpected(task, worker, row);
    const { end, run } = row;
    this.ctx.log(DECISION.ended, {
      counted: isCounted,
      end,
      failures: task?.failures,
      known: task !== undefined,
      number: row.number,
      run,
      task: row.task,
      worker: worker.info.id,
    });
    if (task === undefined || !isCounted) {
      return;
    }
    task.endExpectedFrom = '';
    if (row.checkpoint !== '') {
      task.checkpoint = row.checkpoint;
    }
    if (end === RUN_END.done) {
      this.#onDone(task, worker, now);
    } else {
      this.#onUnfinished(task, worker, end, now);
    }
    this.runControl.storeTask(task);
    this.runControl.completeIfDone(task.job, now);
  }

  // The end of a run whose task was released still counts, once, until a later run is assigned.
  #isExpected(task: Task, worker: Worker, row: ReportedEnd): boolean {
    return task.run === row.run && task.endExpectedFrom === worker.info.id;
  }

  #onDone(task: Task, worker: Worker, now: number): void {
    this.quarantine.onDone(worker);
    if (task.phase === 'running') {
      const { step } = task;
      const slowdown = slowdownOn(worker, step, this.ctx.settings.remoteFactor ?? 1);
      this.ctx.runTimes.addSample(task.job.job.queue, now - task.phaseSince, { slowdown, step: step.spec });
    }
    if (task.step.spec.longRunning) {
      task.applyEvent('release', now);
      return;
    }
    task.applyEvent('finish', now);
    if (task.step.spec.gang) {
      this.runControl.finishGang(task.step, now);
    }
    this.ctx.getOrCreatePool(task.job.job.pool).needsAssignment = true;
  }

  #onUnfinished(task: Task, worker: Worker, end: ReportedEnd['end'], now: number): void {
    task.applyEvent('release', now);
    if (end === RUN_END.failed) {
      task.failures += 1;
      task.lastFailedWorkerId = worker.info.id;
      this.quarantine.onFailure(worker, task, now);
      this.runControl.failIfExhausted(task, now);
    }
    if (task.step.spec.gang) {
      this.runControl.stopGang(task.step, now);
    }
  }

  #findTask(text: string): Task | undefined {
    const name = parseTaskName(text);
    if (name === undefined) {
      return undefined;
    }
    return this.ctx.jobs.get(name.jobId)?.findStep(name)?.findTask(name.index);
  }
}
