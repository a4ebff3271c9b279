import type { Result } from 'neverthrow';

/** Request for a slot on a target of a pool. */
export interface GrantRequest {
  /** Size of the request body, in bytes. */
  bytes: number;
  /** Monotonic time by which the request must have started, in ms. */
  deadlineAt: number;
  /** Targets on which earlier attempts of this request have failed. */
  excluded: ReadonlySet<string>;
  job: string;
  pool: string;
  team: string;
  urgent: boolean;
}

/** Permission to run one request on a target. */
export interface Grant {
  address: string;
  /** Returns whether the lease of the slot is valid; a request must not be sent after it has expired. */
  isValid: () => boolean;
  /** Releases the slot. */
  release: (result: GrantResult) => void;
  vm: string;
}

/** How a granted request ended. */
export interface GrantResult {
  /** Whether the target answered completely. */
  ok: boolean;
  /** Time from sending the request to its end, in ms. */
  runMs: number;
}

/** Reason why no slot was granted. */
export interface GrantRefusal {
  detail: string;
  reason: 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota' | 'stopping';
  /** Expected wait, in ms. */
  waitMs: number;
}

/** Grants slots on targets. */
export interface GrantSource {
  /** Waits for a slot until the signal aborts. */
  acquire: (req: GrantRequest, signal: AbortSignal) => Promise<Result<Grant, GrantRefusal>>;
}
