import type { Claim } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { ClaimHolderClient, HolderStatus } from './claim-holder-client';
import type { RequestPlan } from './request-plan';
import type { WholeAnswer } from './target-answer';
import type { WorkReplica } from './work-replica';
import { toWholeAnswer } from './target-answer';

/** Outcome of an earlier claim of a key; `released` if the key can be claimed again. */
export type ResolvedClaim = { kind: 'released' } | FinalClaimOutcome;

/** Outcome of an earlier claim that still holds its key. */
export type FinalClaimOutcome =
  | { answer: WholeAnswer; kind: 'finished' }
  | {
      kind: 'ended-unknown' | 'expired' | 'holder-gone' | 'mismatch' | 'not-kept' | 'unfinished';
    };

/** Interval at which the holder of an unfinished claim is queried, in ms. */
const HOLDER_QUERY_INTERVAL_MS = 500;

/** Time to wait for the outcome record of a holder that has ended, in ms. */
const HOLDER_GONE_GRACE_MS = 500;

/** Resolves the outcome of earlier claims from the log and by querying the holder; never runs a request. */
export class EarlierClaimResolver {
  constructor(
    private readonly work: WorkReplica,
    private readonly holders: ClaimHolderClient,
    private readonly timers: TimerService,
  ) {}

  /** Waits for the outcome of a claim until the signal aborts or the holder has ended. */
  async resolve(plan: RequestPlan, claim: Claim, signal: AbortSignal): Promise<ResolvedClaim> {
    if (claim.digest !== plan.digest) {
      return { kind: 'mismatch' };
    }
    if (this.work.claims.isExpired(claim, this.timers.now())) {
      return { kind: 'expired' };
    }
    while (!signal.aborted && !(await this.#waitForOutcome(claim, HOLDER_QUERY_INTERVAL_MS, signal))) {
      const status = await this.#queryUnfinished(claim, signal);
      if (status !== undefined) {
        return status;
      }
    }
    return claim.result === undefined ? { kind: 'unfinished' } : this.#toOutcome(claim, signal);
  }

  async #queryUnfinished(claim: Claim, signal: AbortSignal): Promise<FinalClaimOutcome | undefined> {
    const status = await this.holders.queryStatus(claim, signal);
    if (status.state !== 'gone') {
      return toFinalOutcome(status);
    }
    const ended = await this.#waitForOutcome(claim, HOLDER_GONE_GRACE_MS, signal);
    return ended ? undefined : { kind: 'holder-gone' };
  }

  async #toOutcome(claim: Claim, signal: AbortSignal): Promise<ResolvedClaim> {
    const { result } = claim;
    if (result?.outcome === 'not-run') {
      return { kind: 'released' };
    }
    if (result?.outcome !== 'answered') {
      return { kind: 'ended-unknown' };
    }
    const recorded = toWholeAnswer(result);
    if (recorded !== undefined) {
      return { answer: recorded, kind: 'finished' };
    }
    // The answer is too large for the log; only the holder may still have it.
    const status = toFinalOutcome(await this.holders.queryStatus(claim, signal));
    return status?.kind === 'finished' ? status : { kind: 'not-kept' };
  }

  // Returns whether the outcome is known.
  async #waitForOutcome(claim: Claim, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
    await this.work.whenOutcomeKnown(claim, createTimeoutSignal(signal, timeoutMs));
    return claim.result !== undefined;
  }
}

function toFinalOutcome(reported: HolderStatus): FinalClaimOutcome | undefined {
  switch (reported.state) {
    case 'answered': {
      const { bodyBase64, headers, status } = reported;
      return { answer: { body: Buffer.from(bodyBase64, 'base64'), headers, status }, kind: 'finished' };
    }
    case 'unknown':
      return { kind: 'ended-unknown' };
    default:
      return undefined;
  }
}
