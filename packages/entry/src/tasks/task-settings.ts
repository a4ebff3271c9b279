import * as z from 'zod';

/** Schema of the settings for tasks on workers. Times are in ms. */
export const taskSettingsSchema = z.strictObject({
  /** Time for which an ended task is kept; must be shorter than three quarters of `retentionMs`. */
  keepFinishedMs: z.int().min(1000).default(3_600_000),
  /** Duration of a lease, both in the log and on the worker, which stops a task that no entry renews. */
  leaseMs: z.int().min(500).default(15_000),
  /** Number of different workers on which a task may fail before it ends. */
  maxAttempts: z.int().min(1).max(100).default(3),
  /** Largest number of tasks that have not ended, over all teams; further requests are refused. */
  maxLive: z.int().min(1).default(20_000),
  /** Interval at which the worker of a running task is polled. */
  pollMs: z.int().min(10).default(1000),
  /** Time after which a quarantined worker gets one task as a probe. */
  probeAfterMs: z.int().min(100).default(60_000),
  /** Interval at which a lease is renewed in the log; a third of `leaseMs` leaves two more attempts. */
  renewMs: z.int().min(50).default(5000),
  /** Shortest retention of the `work` stream: `retentionMs` in ms, `retentionRecords` in records. */
  retentionMs: z.int().min(1000).default(86_400_000),
  retentionRecords: z.int().min(100).default(1_000_000),
  /** Allowance for clock skew before a lease counts as lapsed. */
  skewMs: z.int().min(0).default(5000),
  /** Delay before each next entry of a task's rendezvous order takes over. */
  takeoverMs: z.int().min(50).default(1000),
  /** Interval between planning rounds. */
  tickMs: z.int().min(10).default(250),
  /** Consecutive failures, over at least two jobs, after which a worker is quarantined. */
  workerFailureLimit: z.int().min(1).default(5),
  /** Timeout of one call to a worker. */
  workerTimeoutMs: z.int().min(50).default(3000),
});

/** Settings for tasks on workers. */
export type TaskSettings = z.infer<typeof taskSettingsSchema>;
