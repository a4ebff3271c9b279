import * as z from 'zod';

/** Settings for tasks on workers. Times in ms. */
export const taskSettingsSchema = z.strictObject({
  /** Time for which a finished task is remembered; must be shorter than three quarters of the retention. */
  keepFinishedMs: z.int().min(1000).default(3_600_000),
  /** Time for which a worker runs a task without hearing from an entry, and length of the lease in the log. */
  leaseMs: z.int().min(500).default(15_000),
  /** Number of different workers on which a task may fail before it ends. */
  maxAttempts: z.int().min(1).max(100).default(3),
  /** Tasks that have not ended, over all teams; more are refused. */
  maxLive: z.int().min(1).default(20_000),
  /** Period at which the worker of a running task is asked for its state. */
  pollMs: z.int().min(10).default(1000),
  /** Time after which a worker that was set aside gets a task as a probe. */
  probeAfterMs: z.int().min(100).default(60_000),
  /** Period at which a lease is renewed in the log; a third of `leaseMs` leaves two more tries. */
  renewMs: z.int().min(50).default(5000),
  /** Shortest retention of the `work` stream, in ms and in records. */
  retentionMs: z.int().min(1000).default(86_400_000),
  retentionRecords: z.int().min(100).default(1_000_000),
  /** Allowance for differing clocks before a lease counts as lapsed. */
  skewMs: z.int().min(0).default(5000),
  /** Time for which each entry waits for the one before it in a task's rendezvous order. */
  takeoverMs: z.int().min(50).default(1000),
  /** Period of the planning round. */
  tickMs: z.int().min(10).default(250),
  /** Failures in a row, over at least two jobs, at which a worker is set aside. */
  workerFailureLimit: z.int().min(1).default(5),
  /** Limit for one call to a worker. */
  workerTimeoutMs: z.int().min(50).default(3000),
});

/** Settings for tasks on workers. */
export type TaskSettings = z.infer<typeof taskSettingsSchema>;
