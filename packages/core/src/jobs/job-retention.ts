import type { JobTable } from './job-table';

/** Times the promised time for which the state of an ended job is kept: clocks differ, answers take time. */
const KEPT_FACTOR = 1.5;

/** Decides when the state of an ended job may be dropped. */
export class JobRetention {
  readonly #endedAt = new Map<string, number>();

  constructor(private readonly stateKeptMs: number) {}

  /** Jobs to forget at a monotonic time, in ms. The time counts from when their end was first seen here. */
  due(jobs: JobTable, now: number): string[] {
    const due: string[] = [];
    for (const id of jobs.ended()) {
      const endedAt = this.#endedAt.get(id) ?? now;
      this.#endedAt.set(id, endedAt);
      if (now - endedAt > KEPT_FACTOR * this.stateKeptMs) {
        due.push(id);
        this.#endedAt.delete(id);
      }
    }
    return due;
  }
}
