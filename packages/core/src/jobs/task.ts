import type { TaskEvent, TaskPhase } from '../charts/task-run.chart';
import type { JobRun } from './job-run';
import type { OpenSuspicion } from './open-suspicion';
import type { CrashCounts, TaskRecord } from './run-record';
import type { StepRun } from './step-run';
import type { Worker } from './worker';
import { transition } from '../charts/chart';
import { taskRunChart } from '../charts/task-run.chart';
import { openSuspicion, toStoredSuspicion } from './open-suspicion';
import { NO_CRASHES } from './run-record';

/** Maximum age of a worker's report for it to count as evidence that a task is active, in ms. */
const MAX_REPORT_AGE_MS = 2500;

/** Task of a job, with the state of its newest run. */
export class Task {
  /** Newest checkpoint; empty if there is none. */
  checkpoint = '';
  /**
   * Id of the worker that runs the newest run, or may still list its end although the task was released; empty once
   * that end has been read, so that it does not count again when the worker lists it to a later leader.
   */
  endExpectedFrom = '';
  /** Proven crashes of workers under the task. */
  crashes: CrashCounts = { ...NO_CRASHES };
  /** Number of failed runs. */
  failures = 0;
  /** Index of the task in its step. */
  readonly index: number;
  readonly job: JobRun;
  /** Id of the worker on which the task last failed; other workers are preferred. */
  lastFailedWorkerId = '';
  /** Last reported load: processor time in use, or the tail latency of a serving task in ms. */
  load = 0;
  readonly name: string;
  /** Percentage of its processor time that the task may use. */
  cpuSharePercent = 100;
  /** Progress of the run in percent; for a long-running task, 100 means that it is active. */
  progressPercent = 0;
  /** Monotonic time at which `progressPercent` last changed, in ms. */
  progressChangedAt = 0;
  phase: TaskPhase = taskRunChart.initial;
  /** Monotonic time at which the current phase began, in ms. */
  phaseSince = 0;
  /**
   * Whether the run was assigned in an earlier term. The worker refuses orders of earlier terms as soon as it
   * has received a call of the current term.
   */
  isRestored = false;
  /** Whether the order to start the newest run has been sent. */
  isOrderSent = false;
  /**
   * Start time of the incarnation that is known to have begun the newest run, from a report that lists it or from an
   * answer with a reading of the incarnation's clock, in ms since the epoch; undefined if none is.
   */
  provenBornAt: number | undefined;
  /** Number of the newest run; 0 before the first run. */
  run = 0;
  /** Monotonic time at which the newest run was confirmed, in ms; long past for a run of an earlier term. */
  runningSince = -Infinity;
  /** Monotonic time before which the task is not assigned, because its order was refused as invalid, in ms. */
  startsNotBefore = 0;
  readonly step: StepRun;
  /** Monotonic time at which the worker acknowledged the order to stop, in ms; undefined before that. */
  stopAcknowledgedAt: number | undefined;
  /** Crashes that are neither proven nor disproved. */
  suspicions: OpenSuspicion[] = [];
  worker: Worker | undefined;

  constructor(name: string, index: number, job: JobRun, step: StepRun) {
    this.index = index;
    this.name = name;
    this.job = job;
    this.step = step;
  }

  /** Moves to the next phase. Returns false if the event has no transition in the current phase. */
  applyEvent(event: TaskEvent, now: number): boolean {
    const next = transition(taskRunChart, this.phase, event);
    if (next === undefined) {
      return false;
    }
    if (next !== this.phase) {
      this.phaseSince = now;
      this.runningSince = next === 'running' && !this.isRestored ? now : this.runningSince;
      this.step.onPhaseChange(this, this.phase, next);
    }
    this.phase = next;
    if (next === 'waiting' || next === 'done') {
      this.#detachFromWorker();
    }
    if (next === 'done') {
      this.endExpectedFrom = '';
    }
    return true;
  }

  /** Assigns a run to a worker and reserves its capacity there. */
  assign(worker: Worker, run: number, now: number): void {
    this.applyEvent('assign', now);
    this.endExpectedFrom = worker.info.id;
    this.isOrderSent = false;
    this.isRestored = false;
    this.provenBornAt = undefined;
    this.run = run;
    this.runningSince = -Infinity;
    this.progressPercent = 0;
    this.cpuSharePercent = 100;
    this.progressChangedAt = now;
    this.stopAcknowledgedAt = undefined;
    this.#detachFromWorker();
    this.worker = worker;
    this.step.onAssignment(worker, 1);
    worker.attach(this);
  }

  /** Restores the state that an earlier term stored about the task. */
  restore(record: TaskRecord, worker: Worker | undefined, now: number): void {
    this.checkpoint = record.checkpoint;
    this.crashes = { ...(record.crashes ?? this.crashes) };
    this.suspicions = (record.suspicions ?? []).map((suspicion) => openSuspicion(suspicion, now));
    this.failures = record.failures;
    this.run = record.run;
    if (record.state === 'done') {
      this.applyEvent('finish', now);
    } else if (record.state === 'waiting') {
      this.endExpectedFrom = record.workerId;
    } else if (worker !== undefined) {
      this.assign(worker, record.run, now);
      this.isRestored = true;
      this.applyEvent('lose', now);
    }
  }

  /** Whether the task may crash its workers, so that it has to start alone. */
  get isSuspected(): boolean {
    return this.crashes.suspected > 0 || this.suspicions.some(({ isDoubted }) => !isDoubted);
  }

  /** Whether a recent report of the worker shows the task as active. */
  isReportedActive(now: number): boolean {
    const { worker } = this;
    return (
      this.phase === 'running' &&
      this.progressPercent === 100 &&
      worker !== undefined &&
      !worker.isUnresponsive &&
      now - worker.lastReportAt < MAX_REPORT_AGE_MS
    );
  }

  /** Returns the record that is stored for the task. */
  toRecord(): TaskRecord {
    const { checkpoint, crashes, endExpectedFrom, failures, name, phase, run } = this;
    const state = phase === 'waiting' || phase === 'done' ? phase : 'assigned';
    return {
      checkpoint,
      crashes: { ...crashes },
      failures,
      run,
      state,
      suspicions: this.suspicions.map(toStoredSuspicion),
      task: name,
      workerId: endExpectedFrom,
    };
  }

  #detachFromWorker(): void {
    if (this.worker !== undefined) {
      this.step.onAssignment(this.worker, -1);
      this.worker.detach(this);
      this.worker = undefined;
    }
  }
}
