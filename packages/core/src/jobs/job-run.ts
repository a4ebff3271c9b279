import type { TaskPhase } from '../charts/task-run.chart';
import type { Job, StepSpec } from './job-spec';
import { Task } from './task';
import { formatTaskName } from './task-name';

/** A step of one occurrence of a job. */
export class StepRun {
  /** Number of tasks that are not done. */
  open: number;
  readonly occurrence: OccurrenceRun;
  readonly spec: StepSpec;
  readonly tasks: Task[];
  /** Number of tasks that are assigned to no worker and not done. */
  waiting: number;

  constructor(job: JobRun, occurrence: OccurrenceRun, number: number, spec: StepSpec) {
    this.occurrence = occurrence;
    this.spec = spec;
    this.open = spec.count;
    this.waiting = spec.count;
    this.tasks = Array.from({ length: spec.count }, (_, index) => {
      const name = formatTaskName({ index, jobId: job.job.id, occurrence: occurrence.number, step: number });
      return new Task(name, job, this);
    });
  }

  /** Whether all steps before this one are done. */
  get isReady(): boolean {
    return this.spec.after.every((before) => this.occurrence.steps[before]?.open === 0);
  }

  /** Counts a change of phase of one of the tasks. */
  onPhase(from: TaskPhase, to: TaskPhase): void {
    this.waiting += Number(to === 'waiting') - Number(from === 'waiting');
    this.open += Number(from === 'done') - Number(to === 'done');
  }
}

/** One occurrence of a job: all its steps. */
export class OccurrenceRun {
  readonly number: number;
  readonly steps: StepRun[];

  constructor(job: JobRun, number: number) {
    this.number = number;
    this.steps = [];
    job.job.spec.steps.forEach((spec, step) => {
      this.steps.push(new StepRun(job, this, step, spec));
    });
  }

  /** Whether all steps are done. */
  get isDone(): boolean {
    return this.steps.every((step) => step.open === 0);
  }
}

/** A job that has not ended, with its tasks. */
export class JobRun {
  /** No task of the job may start any more. */
  ended = false;
  /** The end of the job is stored. */
  endStored = false;
  readonly job: Job;
  /** Occurrences that are due. */
  readonly occurrences: OccurrenceRun[] = [];
  /** Callers were told that the job is running. */
  toldRunning = false;

  constructor(job: Job) {
    this.job = job;
    if (job.spec.schedule === undefined) {
      this.#addOccurrence();
    }
  }

  /** Adds the occurrences that are due at a wall clock time, in ms; true when there were any. */
  addDue(wallNow: number): boolean {
    const before = this.occurrences.length;
    let dueAt = this.nextDueAt;
    while (dueAt !== undefined && dueAt <= wallNow) {
      this.#addOccurrence();
      dueAt = this.nextDueAt;
    }
    return this.occurrences.length > before;
  }

  /** Wall clock of the next occurrence, in ms; undefined when there is none. */
  get nextDueAt(): number | undefined {
    const { schedule } = this.job.spec;
    const next = this.occurrences.length;
    return schedule === undefined || next >= schedule.count
      ? undefined
      : schedule.firstAt + next * schedule.intervalMs;
  }

  /** Whether every task of every occurrence is done. */
  get isDone(): boolean {
    return this.nextDueAt === undefined && this.occurrences.every((occurrence) => occurrence.isDone);
  }

  /** Whether some step is meant to run until the job is cancelled. */
  get isLongRunning(): boolean {
    return this.job.spec.steps.some((step) => step.longRunning);
  }

  /** Steps whose turn has come and that have tasks to assign. */
  *readySteps(): Generator<StepRun> {
    for (const occurrence of this.occurrences) {
      for (const step of occurrence.steps) {
        if (step.waiting > 0 && step.isReady) {
          yield step;
        }
      }
    }
  }

  /** All tasks of the occurrences that are due. */
  *tasks(): Generator<Task> {
    for (const occurrence of this.occurrences) {
      for (const step of occurrence.steps) {
        yield* step.tasks;
      }
    }
  }

  #addOccurrence(): void {
    this.occurrences.push(new OccurrenceRun(this, this.occurrences.length));
  }
}
