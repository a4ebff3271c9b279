import type { TaskEvent, TaskPhase } from '../charts/task-run.chart';
import type { JobRun, StepRun } from './job-run';
import type { TaskRecord } from './run-record';
import type { Worker } from './worker';
import { transition } from '../charts/chart';
import { taskRunChart } from '../charts/task-run.chart';

/** Age above which a worker's report proves nothing, in ms. */
const STALE_REPORT_MS = 2500;

/** A task of a job. */
export class Task {
  /** Newest checkpoint; empty when there is none. */
  checkpoint = '';
  /** Runs that ended as failed. */
  failures = 0;
  readonly job: JobRun;
  /** Worker on which the task last failed; another is preferred. */
  lastFailedOn = '';
  /** Rough figure of the worker for the task's load. */
  load = 0;
  readonly name: string;
  /** Share of its processor time that the task may use, in percent. */
  pacePercent = 100;
  /** Progress of a run in percent; for a task that lasts, 100 means that it is at work. */
  percent = 0;
  /** Monotonic time at which `percent` last changed, in ms. */
  percentChangedAt = 0;
  phase: TaskPhase = taskRunChart.initial;
  /** Monotonic time at which the present phase began, in ms. */
  phaseSince = 0;
  /** The assignment was made in an earlier term, whose orders are void once the worker knows this term. */
  restored = false;
  /** Number of the newest run; 0 before the first. */
  run = 0;
  readonly step: StepRun;
  /** Monotonic time at which the worker acknowledged the stop of the run; undefined before. */
  stoppedAt: number | undefined;
  worker: Worker | undefined;

  constructor(name: string, job: JobRun, step: StepRun) {
    this.name = name;
    this.job = job;
    this.step = step;
  }

  /** Moves to the next phase; false when the event means nothing in the present one. */
  advance(event: TaskEvent, now: number): boolean {
    const next = transition(taskRunChart, this.phase, event);
    if (next === undefined) {
      return false;
    }
    if (next !== this.phase) {
      this.phaseSince = now;
      this.step.onPhase(this.phase, next);
    }
    this.phase = next;
    if (next === 'waiting' || next === 'done') {
      this.#leaveWorker();
    }
    return true;
  }

  /** Assigns the next run to a worker. */
  assign(worker: Worker, run: number, now: number): void {
    this.advance('assign', now);
    this.restored = false;
    this.run = run;
    this.percent = 0;
    this.pacePercent = 100;
    this.percentChangedAt = now;
    this.stoppedAt = undefined;
    this.worker = worker;
    worker.attach(this);
  }

  /** Takes over what an earlier term has stored about the task. */
  restore(record: TaskRecord, worker: Worker | undefined, now: number): void {
    this.checkpoint = record.checkpoint;
    this.failures = record.failures;
    this.run = record.run;
    if (record.state === 'done') {
      this.advance('finish', now);
    } else if (record.state === 'assigned' && worker !== undefined) {
      this.assign(worker, record.run, now);
      this.restored = true;
      this.advance('lose', now);
    }
  }

  /** Whether the worker has reported lately that the task is at work. */
  isAtWork(now: number): boolean {
    const { worker } = this;
    return (
      this.phase === 'running' &&
      this.percent === 100 &&
      worker !== undefined &&
      !worker.silent &&
      now - worker.heardAt < STALE_REPORT_MS
    );
  }

  /** What is stored about the task. */
  toRecord(): TaskRecord {
    const { checkpoint, failures, name, phase, run } = this;
    const state = phase === 'waiting' || phase === 'done' ? phase : 'assigned';
    return { checkpoint, failures, run, state, task: name, workerId: this.worker?.info.id ?? '' };
  }

  #leaveWorker(): void {
    this.worker?.detach(this);
    this.worker = undefined;
  }
}
