import type { Result } from 'neverthrow';

/** Wish for a slot on a target of a pool. */
export interface GrantRequest {
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
  reason: 'deadline-unreachable' | 'no-target' | 'queue-full';
  /** Expected wait, in ms. */
  waitMs: number;
}

/** Gives out slots on targets. */
export interface GrantSource {
  /** Waits for a slot until the signal aborts. */
  acquire: (req: GrantRequest, signal: AbortSignal) => Promise<Result<Grant, GrantRefusal>>;
}
