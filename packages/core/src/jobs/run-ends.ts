import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import type { EndRow } from './worker-report';
import { DECISION } from './scheduler-output';
import { parseTaskName } from './task-name';
import { RUN_END } from './worker-report';

/** Decides what the end of a run means for its task, its job and its worker. */
export class RunEnds {
  constructor(
    private readonly ctx: SchedulerContext,
    private readonly control: RunControl,
  ) {}

  /** Takes an end of a run that was not read before. */
  onEnd(worker: Worker, row: EndRow, now: number): void {
    worker.endsRead = row.number;
    this.ctx.noteEnds(worker);
    const task = this.#findTask(row.task);
    const { end, run } = row;
    this.ctx.log(DECISION.ended, {
      end,
      known: task !== undefined,
      run,
      task: row.task,
      worker: worker.info.id,
    });
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
    this.control.store(task);
    this.control.endIfDone(task.job, now);
  }

  // An end of a run that had been given up counts while no later run has been assigned.
  #isNewest(task: Task, worker: Worker, row: EndRow): boolean {
    return task.run === row.run && (task.worker === worker || task.phase === 'waiting');
  }

  #onDone(task: Task, worker: Worker, now: number): void {
    worker.failuresInRow = 0;
    if (task.phase === 'running') {
      this.ctx.times.done(task.job.job.queue, now - task.phaseSince);
    }
    if (task.step.spec.longRunning) {
      task.advance('release', now);
      return;
    }
    task.advance('finish', now);
    const others = task.step.spec.gang ? task.step.tasks.filter((member) => member !== task) : [];
    for (const member of others) {
      member.advance('finish', now);
      this.control.store(member);
    }
    this.ctx.pool(task.job.job.pool).dirty = true;
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
        this.control.stop(member, 'gang-broken', now);
      }
    }
  }

  #onFailure(task: Task, worker: Worker, now: number): void {
    worker.failuresInRow += 1;
    if (worker.failuresInRow >= this.ctx.settings.setAsideAfter) {
      worker.pausedUntil = now + this.ctx.settings.setAsideMs;
      this.ctx.log(DECISION.workerPaused, { failuresInRow: worker.failuresInRow, worker: worker.info.id });
    }
    const limit = this.ctx.queueOf(task.job)?.maxAttempts ?? Infinity;
    if (!task.step.spec.longRunning && task.failures >= limit && !task.job.ended) {
      this.control.endJob(task.job, 'failed', now);
    }
  }

  #findTask(text: string): Task | undefined {
    const name = parseTaskName(text);
    if (name === undefined) {
      return undefined;
    }
    const occurrence = this.ctx.jobs.get(name.jobId)?.occurrences[name.occurrence];
    return occurrence?.steps[name.step]?.tasks[name.index];
  }
}
