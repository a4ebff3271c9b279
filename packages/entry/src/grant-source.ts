import type { Result } from 'neverthrow';

/** Wish for a slot on a target of a pool. */
export interface GrantRequest {
  /** Size of the request body, in bytes. */
  bytes: number;
  /** Monotonic time by which the request must have started, in ms. */
  deadlineAt: number;
  /** Targets that have failed this request before. */
  excluded: ReadonlySet<string>;
  job: string;
  pool: string;
  team: string;
  urgent: boolean;
}

/** Permission to run one request on a target. */
export interface Grant {
  address: string;
  /** Gives the slot back; `runMs` is the time that the target took, when it answered. */
  release: (result: GrantResult) => void;
  /** Whether the slot is still leased; a request must not be sent after its lease has expired. */
  valid: () => boolean;
  vm: string;
}

/** How a granted request ended. */
export interface GrantResult {
  ok: boolean;
  runMs: number;
}

/** Why no slot was granted. */
export interface GrantRefusal {
  detail: string;
  reason: 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota' | 'stopping';
  /** Expected wait, in ms. */
  waitMs: number;
}

/** Gives out slots on targets. */
export interface GrantSource {
  /** Waits for a slot until the signal aborts. */
  acquire: (req: GrantRequest, signal: AbortSignal) => Promise<Result<Grant, GrantRefusal>>;
}
