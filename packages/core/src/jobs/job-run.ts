import type { Job } from './job-spec';
import type { Task } from './task';
import type { TaskName } from './task-name';
import { StepRun } from './step-run';

/** One occurrence of a job, with all its steps. */
export class OccurrenceRun {
  readonly number: number;
  readonly steps: StepRun[];

  constructor(job: JobRun, number: number) {
    this.number = number;
    this.steps = [];
    job.job.spec.steps.forEach((spec, stepIndex) => {
      this.steps.push(new StepRun(job, this, stepIndex, spec));
    });
  }

  /** Whether all steps are done. */
  get isDone(): boolean {
    return this.steps.every((step) => step.unfinishedCount === 0);
  }
}

/** Scheduling state of a job, with its occurrences and tasks. */
export class JobRun {
  /** Whether the job has ended; none of its tasks may start after that. */
  hasEnded = false;
  /** Whether the end of the job is stored. */
  isEndStored = false;
  /** Whether its workspace sent it beyond the rate to which it is entitled. */
  isExcess = false;
  /** Wall clock time at which a task was last assigned, in ms. */
  lastAssignedAt = -Infinity;
  /** Whether any step runs until the job is cancelled. */
  readonly isLongRunning: boolean;
  readonly job: Job;
  /** Occurrences that are due. */
  readonly occurrences: OccurrenceRun[] = [];
  /** Whether it was reported to callers that the job is running. */
  runningReported = false;

  constructor(job: Job) {
    this.isLongRunning = job.spec.steps.some((step) => step.longRunning);
    this.job = job;
    if (job.spec.schedule === undefined) {
      this.#addOccurrence();
    }
  }

  /** Adds the occurrences that are due at a wall clock time in ms. Returns whether any were added. */
  addDueOccurrences(wallNow: number): boolean {
    const previousCount = this.occurrences.length;
    let dueAt = this.nextDueAt;
    while (dueAt !== undefined && dueAt <= wallNow) {
      this.#addOccurrence();
      dueAt = this.nextDueAt;
    }
    return this.occurrences.length > previousCount;
  }

  /**
   * Adds the occurrences up to a number of which records exist: an earlier leader has found them due, by a clock
   * that was ahead of this one.
   */
  addRecordedOccurrences(number: number): void {
    while (this.occurrences.length <= number && this.nextDueAt !== undefined) {
      this.#addOccurrence();
    }
  }

  /** Wall clock time of the next occurrence, in ms; undefined if there is none. */
  get nextDueAt(): number | undefined {
    const { schedule } = this.job.spec;
    const nextIndex = this.occurrences.length;
    return schedule === undefined || nextIndex >= schedule.count
      ? undefined
      : schedule.firstAt + nextIndex * schedule.intervalMs;
  }

  /** Whether every task is done and no further occurrence is scheduled. */
  get isDone(): boolean {
    return this.nextDueAt === undefined && this.occurrences.every((occurrence) => occurrence.isDone);
  }

  /** Returns the steps whose dependencies are done and that have tasks to assign. */
  readySteps(): StepRun[] {
    const ready: StepRun[] = [];
    for (const occurrence of this.occurrences) {
      for (const step of occurrence.steps) {
        if (step.waitingCount > 0 && step.isReady) {
          ready.push(step);
        }
      }
    }
    return ready;
  }

  /** Yields the steps of the occurrences that are due. */
  *steps(): Generator<StepRun> {
    for (const occurrence of this.occurrences) {
      yield* occurrence.steps;
    }
  }

  /** Yields the tasks of the occurrences that are due, without those that are done and those whose turn has not come. */
  *tasks(): Generator<Task> {
    for (const step of this.steps()) {
      yield* step.tasks();
    }
  }

  /** Returns the step of a task of the job; undefined if there is none, or if its occurrence is not due. */
  findStep({ occurrence, step }: Pick<TaskName, 'occurrence' | 'step'>): StepRun | undefined {
    return this.occurrences[occurrence]?.steps[step];
  }

  #addOccurrence(): void {
    this.occurrences.push(new OccurrenceRun(this, this.occurrences.length));
  }
}
