import type { JobTable } from './job-table';

/**
 * Factor on the promised retention time of the state of an ended job. The margin covers clock differences
 * and the latency of answers.
 */
const RETENTION_FACTOR = 1.5;

/** Decides when the state of an ended job may be removed. */
export class JobRetention {
  readonly #endSeenAt = new Map<string, number>();

  constructor(private readonly retentionMs: number) {}

  /**
   * Returns the ids of the jobs whose retention time is over at a monotonic time in ms, each id once. The
   * retention time starts when this method first sees that the job has ended.
   */
  collectExpired(jobs: JobTable, now: number): string[] {
    const expired: string[] = [];
    for (const id of jobs.endedIds()) {
      const endSeenAt = this.#endSeenAt.get(id) ?? now;
      this.#endSeenAt.set(id, endSeenAt);
      if (now - endSeenAt > RETENTION_FACTOR * this.retentionMs) {
        expired.push(id);
        this.#endSeenAt.delete(id);
      }
    }
    return expired;
  }
}
