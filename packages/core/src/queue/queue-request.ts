/** Class of a job by its typical run time. */
export type WorkClass = 'long' | 'short';

/** Request for a slot of a pool. Times in ms on the monotonic clock of the queue's owner. */
export interface QueueRequest {
  /** Size of the request body, in bytes. */
  bytes: number;
  /** Time by which the request must start. */
  deadlineAt: number;
  /** VMs on which the request must not run. */
  excluded: ReadonlySet<string>;
  /** Id that is unique across all members; also the id of the grant. */
  id: string;
  job: string;
  /** Entry that sent the request. */
  member: string;
  team: string;
  urgent: boolean;
}

/** Lease on one slot of a VM. Times in ms on the monotonic clock of the queue's owner. */
export interface PoolGrant {
  class: WorkClass;
  /** Expected run time, for which the team was charged, in ms. */
  expectedMs: number;
  expiresAt: number;
  grantedAt: number;
  id: string;
  job: string;
  member: string;
  /** Whether the run has exceeded the straggler threshold of its job. */
  straggler: boolean;
  team: string;
  vm: string;
}

/** Grant that a member reports to a new owner of the queue. */
export interface ReportedGrant {
  id: string;
  job: string;
  /** Elapsed run time of the request, in ms. */
  ranMs: number;
  team: string;
  vm: string;
}

/** VM that may receive new work, with its number of slots. */
export interface QueueTarget {
  slots: number;
  vm: string;
}

/** Reason why the queue refuses a request. */
export type QueueRefusalReason = 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota';

/** Refusal of a request; the request has not run. */
export interface QueueRefusal {
  /** Explanation for people. */
  detail: string;
  reason: QueueRefusalReason;
  /** Expected wait, in ms. */
  waitMs: number;
}
