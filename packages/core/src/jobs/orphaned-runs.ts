import type { ReportedRun } from './worker-report';

interface OrphanedRun {
  run: number;
  stopAcknowledgedAt: number | undefined;
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
        const stopAcknowledgedAt = this.stopAcknowledgedAt(task, run);
        return [task, { run, stopAcknowledgedAt }];
      }),
    );
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

  /** Forgets the runs, for example because the worker has restarted. */
  clear(): void {
    this.#byTask.clear();
  }
}
