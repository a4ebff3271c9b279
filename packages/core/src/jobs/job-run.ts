import type { TaskPhase } from '../charts/task-run.chart';
import type { Job, StepSpec } from './job-spec';
import type { Worker } from './worker';
import { addTo } from './counts';
import { Task } from './task';
import { formatTaskName } from './task-name';

/** Step of one occurrence of a job, with its tasks. */
export class StepRun {
  /** Number of tasks that are not done. */
  unfinishedCount: number;
  readonly occurrence: OccurrenceRun;
  readonly spec: StepSpec;
  /**
   * Monotonic time since which the waiting tasks have been found to fit on no worker, in ms; undefined if there was
   * room, or a task was assigned, since.
   */
  strandedSince: number | undefined;
  readonly #countByWorker = new Map<Worker, number>();
  /** Number of tasks whose worker reports them as running, or has confirmed their order. */
  runningCount = 0;
  /** Number of tasks whose order to start has not been answered. */
  startingCount = 0;
  readonly tasks: Task[];
  /** Number of tasks that wait to be assigned to a worker. */
  waitingCount: number;

  constructor(job: JobRun, occurrence: OccurrenceRun, stepIndex: number, spec: StepSpec) {
    this.occurrence = occurrence;
    this.spec = spec;
    this.unfinishedCount = spec.count;
    this.waitingCount = spec.count;
    this.tasks = Array.from({ length: spec.count }, (_, index) => {
      const name = formatTaskName({
        index,
        jobId: job.job.id,
        occurrence: occurrence.number,
        step: stepIndex,
      });
      return new Task(name, job, this);
    });
  }

  /** Whether all steps that this step depends on are done. */
  get isReady(): boolean {
    return this.spec.after.every((index) => this.occurrence.steps[index]?.unfinishedCount === 0);
  }

  /** Returns the number of tasks that are assigned to workers of a rack. */
  countInRack(rack: string): number {
    let count = 0;
    for (const [worker, tasks] of this.#countByWorker) {
      count += worker.info.rack === rack ? tasks : 0;
    }
    return count;
  }

  /** Updates the counts when a task of the step is assigned to a worker, or no longer is. */
  onAssignment(worker: Worker, change: 1 | -1): void {
    addTo(this.#countByWorker, worker, change);
  }

  /** Updates the counts when a task of the step changes its phase. */
  onPhaseChange(from: TaskPhase, to: TaskPhase): void {
    this.runningCount += Number(to === 'running') - Number(from === 'running');
    this.startingCount += Number(to === 'starting') - Number(from === 'starting');
    this.waitingCount += Number(to === 'waiting') - Number(from === 'waiting');
    this.strandedSince = from === 'waiting' ? undefined : this.strandedSince;
    this.unfinishedCount += Number(from === 'done') - Number(to === 'done');
  }
}

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

  /** Yields all tasks of the occurrences that are due. */
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
