import type { StepRun } from './step-run';
import type { Task } from './task';
import type { WorkerReport } from './worker-report';
import type { WorkspaceUse } from './workspace-use';
import { LATE_ORDER_WINDOW_MS } from './late-order-window';

interface FinishedMember {
  run: number;
  /** Monotonic time at which its gang was done, in ms. */
  since: number;
  step: StepRun;
  /** Whether the run is known to have been started, or can't be started any more. */
  wasStarted: boolean;
}

/**
 * Runs on a worker whose gang is done, by the end of another member, and that may not have ended yet. They count in the
 * use of their workspaces until the worker's report shows that they have.
 */
export class FinishedMembers {
  readonly #byTask = new Map<string, FinishedMember>();

  constructor(private readonly use: WorkspaceUse | undefined) {}

  /** Number of runs. */
  get size(): number {
    return this.#byTask.size;
  }

  /** Steps of the runs, one for each run. */
  get steps(): StepRun[] {
    return [...this.#byTask.values()].map(({ step }) => step);
  }

  /** Adds the run of a task that is still attached to the worker, at a monotonic time in ms. */
  add({ isRestored, job, name, run, runningSince, step }: Task, now: number): void {
    if (job.job.workspace !== undefined && !this.#byTask.has(name)) {
      const wasStarted = isRestored || runningSince > -Infinity;
      this.#byTask.set(name, { run, since: now, step, wasStarted });
      this.use?.add(step);
    }
  }

  /** Whether a run is among them. */
  has(task: string, run: number): boolean {
    return this.#byTask.get(task)?.run === run;
  }

  /** Removes the runs that a report, requested at the monotonic time `askedAt` in ms, shows to have ended. */
  applyReport(report: WorkerReport, askedAt: number): void {
    if (this.#byTask.size === 0 || report.hasMoreEnds === true) {
      return;
    }
    const running = new Set(report.running.map(({ run, task }) => `${task} ${run}`));
    for (const [task, { run, since, wasStarted }] of this.#byTask) {
      const mayStart = !wasStarted && askedAt - since <= LATE_ORDER_WINDOW_MS;
      const hasEnded = report.ended.some((row) => row.task === task && row.run === run);
      if (askedAt > since && !running.has(`${task} ${run}`) && (hasEnded || !mayStart)) {
        this.#remove(task);
      }
    }
  }

  /** Removes all runs, which have ended with the worker's process or lease. */
  clear(): void {
    for (const task of [...this.#byTask.keys()]) {
      this.#remove(task);
    }
  }

  #remove(task: string): void {
    const member = this.#byTask.get(task);
    if (member !== undefined) {
      this.#byTask.delete(task);
      this.use?.remove(member.step);
    }
  }
}
