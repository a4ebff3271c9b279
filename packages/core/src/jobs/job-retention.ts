import type { DeleteRecord, ForgetRecord } from './job-record';
import type { JobTable } from './job-table';
import { JOB_KEY_PREFIX, JOB_RECORD } from './job-record';

/**
 * Factor on the promised retention time of the state of an ended job. The margin covers clock differences
 * and the latency of answers.
 */
const RETENTION_FACTOR = 1.5;

/**
 * Time for which the withdrawal of an id is kept, in ms: longer than the store may take to carry out an append that got
 * no answer.
 */
export const WITHDRAWAL_KEPT_MS = 60_000;

/** Decides when the state of an ended job may be removed. */
export class JobRetention {
  #endSeenAt = new Map<string, number>();

  constructor(private readonly retentionMs: number) {}

  /**
   * Returns the records that remove the jobs whose retention time is over at a monotonic time in ms, each job
   * once, and those that remove the withdrawals of ids that have been kept long enough. The retention time starts when
   * this method first sees that the job has ended. Of a job without a known end only the state is removed: its
   * specification may be stored, but not be readable here.
   */
  collectExpired(jobs: JobTable, now: number): (DeleteRecord | ForgetRecord)[] {
    const expired: (DeleteRecord | ForgetRecord)[] = [];
    const endSeenAt = new Map<string, number>();
    for (const id of jobs.endedIds()) {
      const seenAt = this.#endSeenAt.get(id) ?? now;
      const isWithdrawal = jobs.isUnknownWithdrawn(id);
      const keptMs = isWithdrawal ? WITHDRAWAL_KEPT_MS : RETENTION_FACTOR * this.retentionMs;
      if (now - seenAt > keptMs) {
        expired.push(
          jobs.stateOf(id) === undefined && !isWithdrawal
            ? { id, kind: JOB_RECORD.delete, prefix: JOB_KEY_PREFIX.running }
            : { id, kind: JOB_RECORD.forget },
        );
      } else {
        endSeenAt.set(id, seenAt);
      }
    }
    this.#endSeenAt = endSeenAt;
    return expired;
  }
}
