import type { TaskPhase } from '../charts/task-run.chart';
import type { JobRun, OccurrenceRun } from './job-run';
import type { StepSpec } from './job-spec';
import type { Worker } from './worker';
import { addTo } from './counts';
import { IndexSet } from './index-set';
import { Task } from './task';
import { formatTaskName } from './task-name';

/** Tasks of a step that have been created and are not done. */
interface CreatedTasks {
  byIndex: Map<number, Task>;
  /** Numbers of those that are assigned, by worker. */
  countByWorker: Map<Worker, number>;
  waiting: Set<Task>;
}

/**
 * Step of one occurrence of a job. Its tasks are created when their turn comes, and dropped once they are done, so that
 * the memory of the leader does not grow with what waits.
 */
export class StepRun {
  /** Undefined while there are none: a job may have many steps that wait or are done. */
  #created: CreatedTasks | undefined;
  readonly #done: IndexSet;
  /** Index from which on tasks are created when their turn comes; some of them may have been created before. */
  #nextIndex = 0;
  readonly job: JobRun;
  readonly occurrence: OccurrenceRun;
  /** Number of tasks whose worker reports them as running, or has confirmed their order. */
  runningCount = 0;
  readonly spec: StepSpec;
  /** Number of tasks whose order to start has not been answered. */
  startingCount = 0;
  /**
   * Monotonic time since which the waiting tasks have been found to fit on no worker, in ms; undefined if there was
   * room, or a task was assigned, since.
   */
  strandedSince: number | undefined;
  /** Number of tasks that are not done. */
  unfinishedCount: number;
  /** Number of tasks that wait to be assigned to a worker, created or not. */
  waitingCount: number;

  constructor(
    job: JobRun,
    occurrence: OccurrenceRun,
    private readonly stepIndex: number,
    spec: StepSpec,
  ) {
    this.job = job;
    this.occurrence = occurrence;
    this.spec = spec;
    this.unfinishedCount = spec.count;
    this.waitingCount = spec.count;
    this.#done = new IndexSet(spec.count);
  }

  /** Whether all steps that this step depends on are done. */
  get isReady(): boolean {
    return this.spec.after.every((index) => this.occurrence.steps[index]?.unfinishedCount === 0);
  }

  /** Name of the step, which begins the names of its tasks. */
  get name(): string {
    return `${this.job.job.id}.${this.occurrence.number}.${this.stepIndex}`;
  }

  /** Number of waiting tasks that have not been created. */
  get uncreatedCount(): number {
    return this.waitingCount - (this.#created?.waiting.size ?? 0);
  }

  /** Returns the number of tasks that are assigned to workers of a rack. */
  countInRack(rack: string): number {
    let count = 0;
    for (const [worker, tasks] of this.#created?.countByWorker ?? []) {
      count += worker.info.rack === rack ? tasks : 0;
    }
    return count;
  }

  /** Returns the racks of the workers to which tasks are assigned. */
  racks(): Set<string> {
    return new Set([...(this.#created?.countByWorker.keys() ?? [])].map(({ info }) => info.rack));
  }

  /** Yields the names of the tasks that are done. */
  *doneNames(): Generator<string> {
    for (const index of this.#done) {
      yield this.#nameOf(index);
    }
  }

  /** Returns a task that is not done, which is created if need be; undefined if it is done or does not exist. */
  getOrCreateTask(index: number): Task | undefined {
    const known = this.findTask(index);
    if (known !== undefined || !(index >= 0 && index < this.spec.count) || this.#done.has(index)) {
      return known;
    }
    const task = new Task(this.#nameOf(index), index, this.job, this);
    this.#created ??= { byIndex: new Map(), countByWorker: new Map(), waiting: new Set() };
    this.#created.byIndex.set(index, task);
    this.#created.waiting.add(task);
    return task;
  }

  /** Returns a task that has been created and is not done. */
  findTask(index: number): Task | undefined {
    return this.#created?.byIndex.get(index);
  }

  /** Notes that a task that has not been created is done, as an earlier leader has stored. */
  restoreDone(index: number): void {
    if (
      index >= 0 &&
      index < this.spec.count &&
      this.findTask(index) === undefined &&
      this.#done.add(index)
    ) {
      this.unfinishedCount -= 1;
      this.waitingCount -= 1;
    }
  }

  /** Updates the counts when a task of the step is assigned to a worker, or no longer is. */
  onAssignment(worker: Worker, change: 1 | -1): void {
    if (this.#created !== undefined) {
      addTo(this.#created.countByWorker, worker, change);
    }
  }

  /** Updates the counts when a task of the step changes its phase. */
  onPhaseChange(task: Task, from: TaskPhase, to: TaskPhase): void {
    this.runningCount += Number(to === 'running') - Number(from === 'running');
    this.startingCount += Number(to === 'starting') - Number(from === 'starting');
    this.waitingCount += Number(to === 'waiting') - Number(from === 'waiting');
    this.strandedSince = from === 'waiting' ? undefined : this.strandedSince;
    if (to === 'waiting') {
      this.#created?.waiting.add(task);
    } else {
      this.#created?.waiting.delete(task);
    }
    if (to === 'done') {
      this.#onDone(task);
    }
  }

  /** Yields the tasks that have been created and are not done. */
  tasks(): Iterable<Task> {
    return this.#created?.byIndex.values() ?? [];
  }

  /** Yields all tasks that are not done, which are created. */
  *unfinishedTasks(): Generator<Task> {
    for (let index = 0; index < this.spec.count; index += 1) {
      const task = this.getOrCreateTask(index);
      if (task !== undefined) {
        yield task;
      }
    }
  }

  /** Returns the waiting tasks that have been created, in the order of their indexes. */
  createdWaitingTasks(): Task[] {
    return [...(this.#created?.waiting ?? [])].sort((a, b) => a.index - b.index);
  }

  /** Yields the waiting tasks, first those that have been created; the others are created when they are reached. */
  *waitingTasks(): Generator<Task, undefined> {
    yield* this.createdWaitingTasks();
    while (this.#nextIndex < this.spec.count) {
      const index = this.#nextIndex;
      this.#nextIndex += 1;
      const task = this.findTask(index) === undefined ? this.getOrCreateTask(index) : undefined;
      if (task !== undefined) {
        yield task;
      }
    }
    return undefined;
  }

  /** Returns the first waiting task, which is created if need be; undefined if none waits. */
  firstWaitingTask(): Task | undefined {
    const [first] = this.waitingTasks();
    return first;
  }

  #onDone(task: Task): void {
    this.unfinishedCount -= 1;
    this.#done.add(task.index);
    this.#created?.byIndex.delete(task.index);
    if (this.#created?.byIndex.size === 0) {
      this.#created = undefined;
    }
  }

  #nameOf(index: number): string {
    const { job, occurrence, stepIndex: step } = this;
    return formatTaskName({ index, jobId: job.job.id, occurrence: occurrence.number, step });
  }
}
