/** Class of a job by its usual run time. */
export type WorkClass = 'long' | 'short';

/** Request that waits for a slot of a pool. Times in ms on the owner's monotonic clock. */
export interface QueueRequest {
  /** Size of the request body, in bytes. */
  bytes: number;
  /** Time by which the request must have started. */
  deadlineAt: number;
  /** VMs on which the request must not run. */
  excluded: ReadonlySet<string>;
  /** Unique over all members; also the id of the grant. */
  id: string;
  job: string;
  /** Entry that asks. */
  member: string;
  team: string;
  urgent: boolean;
}

/** Lease of one slot on a VM. Times in ms on the owner's monotonic clock. */
export interface PoolGrant {
  class: WorkClass;
  /** Run time that was charged to the team, in ms. */
  expectedMs: number;
  expiresAt: number;
  grantedAt: number;
  id: string;
  job: string;
  member: string;
  /** Whether the run has exceeded the straggler limit. */
  straggler: boolean;
  team: string;
  vm: string;
}

/** Grant that a member reports to a new owner. */
export interface ReportedGrant {
  id: string;
  job: string;
  /** Time for which the request has run, in ms. */
  ranMs: number;
  team: string;
  vm: string;
}

/** VM that may receive new work, with the number of slots that may be granted. */
export interface QueueTarget {
  slots: number;
  vm: string;
}

/** Why a request gets no place in the queue. */
export type QueueRefusalReason = 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota';

/** Refusal of a request that has not run. */
export interface QueueRefusal {
  detail: string;
  reason: QueueRefusalReason;
  /** Expected wait, in ms. */
  waitMs: number;
}
