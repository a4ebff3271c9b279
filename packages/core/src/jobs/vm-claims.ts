import type { DecisionLog } from './scheduler-output';
import type { Worker } from './worker';
import { DECISION } from './scheduler-output';

/** Reasons for which the VM of a worker is about to be taken, or may have been. */
export const CLAIM_REASON = {
  maintenance: 'maintenance',
  /** The VM moves to another pool. */
  move: 'move',
  /** An answer says that the VM was taken, although runs are assigned to the worker. */
  taken: 'taken',
} as const;

/** Reason for which the VM of a worker is about to be taken, or may have been. */
export type ClaimReason = (typeof CLAIM_REASON)[keyof typeof CLAIM_REASON];

/** Claim to the VM of a worker, which gets no tasks while it lasts; several holders may claim the same VM. */
export interface VmClaim {
  /** Who closed the worker; others can't reopen it. */
  readonly holder: string;
  readonly reason: ClaimReason;
  /** Monotonic time of the claim, in ms. */
  readonly since: number;
  /** Monotonic time at which the claim ends unless its holder releases it earlier, in ms. */
  readonly until: number;
}

/** Claim that was given up while an order for the VM may still be carried out. */
export interface VmRisk {
  readonly holder: string;
  /** Monotonic time from which no order is carried out any more, in ms. */
  readonly until: number;
}

/**
 * Closes workers whose VMs are about to be taken, and reopens them. A worker is open when nobody claims its VM. A
 * holder releases only its own claim, each claim ends by itself at its bound, and none outlives the incarnation of
 * its worker.
 */
export class VmClaims {
  constructor(private readonly log: DecisionLog) {}

  /** Closes a worker at a monotonic time in ms, or moves the bound of the holder's claim. */
  claim(worker: Worker, claim: Omit<VmClaim, 'since'>, now: number): void {
    const { holder, reason, until } = claim;
    const known = worker.vmClaims.get(holder);
    worker.vmClaims.set(holder, { ...claim, since: known?.since ?? now });
    worker.vmRisks.delete(holder);
    if (known === undefined) {
      this.log(DECISION.workerClosed, { forMs: until - now, holder, reason, worker: worker.info.id });
    }
  }

  /**
   * Ends the claim of a holder; `cause` says why in the log line. Until the monotonic time `riskUntil` an order of the
   * holder may still be carried out: the worker is open, but runs only what fits on no other one.
   */
  release(worker: Worker, holder: string, cause: string, now: number, riskUntil = now): void {
    worker.vmRisks.delete(holder);
    if (riskUntil > now) {
      worker.vmRisks.set(holder, { holder, until: riskUntil });
    }
    const claim = worker.vmClaims.get(holder);
    if (claim === undefined) {
      return;
    }
    worker.vmClaims.delete(holder);
    this.log(DECISION.workerReopened, {
      cause,
      closedMs: now - claim.since,
      holder,
      others: [...worker.vmClaims.keys()],
      reason: claim.reason,
      riskMs: riskUntil - now,
      worker: worker.info.id,
    });
  }

  /** Ends the claims whose bound has passed. */
  expire(worker: Worker, now: number): void {
    for (const { holder, until } of [...worker.vmClaims.values()]) {
      if (until <= now) {
        this.release(worker, holder, 'expired', now);
      }
    }
    for (const { holder, until } of [...worker.vmRisks.values()]) {
      if (until <= now) {
        worker.vmRisks.delete(holder);
      }
    }
  }

  /** Ends all claims at the end of the worker's incarnation. */
  clear(worker: Worker, now: number): void {
    for (const holder of [...worker.vmClaims.keys()]) {
      this.release(worker, holder, 'restarted', now);
    }
    worker.vmRisks.clear();
  }
}
