import type { StepRun } from './step-run';
import type { ReportedRun } from './worker-report';
import type { WorkspaceUse } from './workspace-use';

interface OrphanedRun {
  run: number;
  /** Step whose workspace the run counts for; undefined if the step is not known. */
  step: StepRun | undefined;
  stopAcknowledgedAt: number | undefined;
}

/** Runs that a worker listed in its newest report and that are not assigned to it; they use its capacity. */
export class OrphanedRuns {
  #byTask = new Map<string, OrphanedRun>();

  /** The runs count in the use of their workspaces, if it is given. */
  constructor(private readonly use?: WorkspaceUse) {}

  /** Number of runs. */
  get size(): number {
    return this.#byTask.size;
  }

  /** Steps of the runs whose step is known, one for each run. */
  get steps(): StepRun[] {
    return [...this.#byTask.values()].flatMap(({ step }) => step ?? []);
  }

  /** Replaces the runs by those of the newest report; returns the ones that were not known before. */
  update(
    rows: readonly ReportedRun[],
    findStep: (row: ReportedRun) => StepRun | undefined = () => undefined,
  ): ReportedRun[] {
    const known = this.#byTask;
    const added = rows.filter((row) => known.get(row.task)?.run !== row.run);
    const listed = new Map(
      rows.map((row): [string, OrphanedRun] => {
        const { run, task } = row;
        const stopAcknowledgedAt = this.stopAcknowledgedAt(task, run);
        return [task, { run, step: findStep(row), stopAcknowledgedAt }];
      }),
    );
    this.#replace(listed);
    return added;
  }

  /** Returns the monotonic time at which the worker acknowledged the order to stop a run, in ms. */
  stopAcknowledgedAt(task: string, run: number): number | undefined {
    const known = this.#byTask.get(task);
    return known?.run === run ? known.stopAcknowledgedAt : undefined;
  }

  /** Records that the worker acknowledged the order to stop a run at a monotonic time in ms. */
  acknowledgeStop(task: string, run: number, now: number): void {
    const known = this.#byTask.get(task);
    if (known?.run === run) {
      known.stopAcknowledgedAt = now;
    }
  }

  /** Takes the runs, which have ended with the worker's lease, from the use until a report lists them again. */
  uncount(): void {
    for (const orphan of this.#byTask.values()) {
      if (orphan.step !== undefined) {
        this.use?.remove(orphan.step);
        orphan.step = undefined;
      }
    }
  }

  /** Forgets the runs, for example because the worker has restarted. */
  clear(): void {
    this.#replace(new Map());
  }

  #replace(runs: Map<string, OrphanedRun>): void {
    for (const step of this.steps) {
      this.use?.remove(step);
    }
    this.#byTask = runs;
    for (const step of this.steps) {
      this.use?.add(step);
    }
  }
}
