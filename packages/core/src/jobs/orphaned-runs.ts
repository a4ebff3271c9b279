import type { ReportedRun } from './worker-report';

interface OrphanedRun {
  isStopAcknowledged: boolean;
  run: number;
}

/** Runs that a worker listed in its newest report and that are not assigned to it; they use its capacity. */
export class OrphanedRuns {
  #byTask = new Map<string, OrphanedRun>();

  /** Number of runs. */
  get size(): number {
    return this.#byTask.size;
  }

  /** Replaces the runs by those of the newest report; returns the ones that were not known before. */
  update(rows: readonly ReportedRun[]): ReportedRun[] {
    const known = this.#byTask;
    const added = rows.filter((row) => known.get(row.task)?.run !== row.run);
    this.#byTask = new Map(
      rows.map(({ run, task }) => {
        return [task, { isStopAcknowledged: this.isStopAcknowledged(task, run), run }];
      }),
    );
    return added;
  }

  /** Whether the worker has acknowledged the order to stop a run. */
  isStopAcknowledged(task: string, run: number): boolean {
    const known = this.#byTask.get(task);
    return known?.run === run && known.isStopAcknowledged;
  }

  /** Records that the worker acknowledged the order to stop a run. */
  acknowledgeStop(task: string, run: number): void {
    const known = this.#byTask.get(task);
    if (known?.run === run) {
      known.isStopAcknowledged = true;
    }
  }

  /** Forgets the runs, for example because the worker has restarted. */
  clear(): void {
    this.#byTask.clear();
  }
}
