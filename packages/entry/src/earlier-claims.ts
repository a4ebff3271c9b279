import type { Claim } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { HolderAnswer, HolderInquiry } from './holder-inquiry';
import type { RequestPlan } from './request-plan';
import type { WholeAnswer } from './target-answer';
import type { WorkReplica } from './work-replica';
import { toWholeAnswer } from './target-answer';

/** What became of an earlier claim of a key; `released` when the key can be claimed again. */
export type EarlierOutcome = { kind: 'released' } | FoundOutcome;

/** Outcome of an earlier claim that stands. */
export type FoundOutcome =
  | { answer: WholeAnswer; kind: 'finished' }
  | {
      kind: 'ended-unknown' | 'expired' | 'holder-gone' | 'mismatch' | 'not-kept' | 'unfinished';
    };

/** Period at which the holder of an unfinished claim is asked, in ms. */
const ASK_PERIOD_MS = 500;

/** Time for which the fold may still bring the outcome of a holder that has ended, in ms. */
const GONE_GRACE_MS = 500;

/** Finds the outcome of claims made before, by the fold and by asking the holder. Runs nothing. */
export class EarlierClaims {
  constructor(
    private readonly work: WorkReplica,
    private readonly inquiry: HolderInquiry,
    private readonly timers: TimerService,
  ) {}

  /** Waits for the outcome of a claim until the signal aborts or the holder is gone. */
  async resolve(plan: RequestPlan, claim: Claim, signal: AbortSignal): Promise<EarlierOutcome> {
    if (claim.digest !== plan.digest) {
      return { kind: 'mismatch' };
    }
    if (this.work.claims.isExpired(claim, this.timers.now())) {
      return { kind: 'expired' };
    }
    while (!signal.aborted && !(await this.#outcomeWithin(claim, ASK_PERIOD_MS, signal))) {
      const stated = await this.#askUnfinished(claim, signal);
      if (stated !== undefined) {
        return stated;
      }
    }
    return claim.result === undefined ? { kind: 'unfinished' } : this.#finished(claim, signal);
  }

  async #askUnfinished(claim: Claim, signal: AbortSignal): Promise<FoundOutcome | undefined> {
    const stated = await this.inquiry.ask(claim, signal);
    if (stated.state !== 'gone') {
      return fromHolder(stated);
    }
    const ended = await this.#outcomeWithin(claim, GONE_GRACE_MS, signal);
    return ended ? undefined : { kind: 'holder-gone' };
  }

  async #finished(claim: Claim, signal: AbortSignal): Promise<EarlierOutcome> {
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
    // The answer is too large for the log: only the holder can have it.
    const stated = fromHolder(await this.inquiry.ask(claim, signal));
    return stated?.kind === 'finished' ? stated : { kind: 'not-kept' };
  }

  // Says whether the outcome is known.
  async #outcomeWithin(claim: Claim, limitMs: number, signal: AbortSignal): Promise<boolean> {
    await this.work.outcomeOf(claim, createTimeoutSignal(signal, limitMs));
    return claim.result !== undefined;
  }
}

function fromHolder(stated: HolderAnswer): FoundOutcome | undefined {
  switch (stated.state) {
    case 'answered': {
      const { bodyBase64, headers, status } = stated;
      return { answer: { body: Buffer.from(bodyBase64, 'base64'), headers, status }, kind: 'finished' };
    }
    case 'unknown':
      return { kind: 'ended-unknown' };
    default:
      return undefined;
  }
}
