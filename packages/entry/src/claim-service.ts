import type { Claim, ClaimResult } from '@sequoiaquay/core';
import type { BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { EarlierClaims } from './earlier-claims';
import type { KeptResults } from './kept-results';
import type { RequestPlan } from './request-plan';
import type { WholeAnswer } from './target-answer';
import type { WorkReplica } from './work-replica';
import { toClaimResult } from './target-answer';

/** Who claims: an entry process in one of its lives. */
export interface ClaimHolder {
  readonly entry: string;
  readonly incarnation: number;
}

/** What came of the wish to claim a key. */
export type ClaimAnswer =
  | { answer: WholeAnswer; kind: 'finished' }
  | { claimId: string; kind: 'held' }
  | {
      kind:
        'ended-unknown' | 'expired' | 'holder-gone' | 'mismatch' | 'not-kept' | 'unavailable' | 'unfinished';
    };

/** How a claimed request ended. */
export type ClaimEnd =
  | { answer: WholeAnswer; kind: 'answered' }
  /** A whole answer that was too large to be kept; `bodyBytes` is the part that was buffered. */
  | { bodyBytes: number; kind: 'streamed'; status: number }
  | { kind: 'not-run' | 'unknown' };

/** Parts of an entry that claims use. */
export interface ClaimServiceParts {
  appender: BatchAppender;
  earlier: EarlierClaims;
  holder: ClaimHolder;
  kept: KeptResults;
  /** Claim and outcome records that may wait for the log; more requests are refused. */
  maxPending: number;
  /** Ends the attempts to record outcomes. */
  signal: AbortSignal;
  timers: TimerService;
  work: WorkReplica;
}

/** Claims idempotency keys in the log before the first byte goes to a target. */
export class ClaimService {
  constructor(private readonly parts: ClaimServiceParts) {
    parts.work.onUnawaitedClaim((claim) => {
      this.#closeUnawaited(claim);
    });
  }

  /** Claims the key of a request, or finds out what became of an earlier claim of it. */
  async claim(plan: RequestPlan & { key: string }, signal: AbortSignal): Promise<ClaimAnswer> {
    const { earlier, work } = this.parts;
    await work.whenComplete(signal);
    while (!signal.aborted) {
      const known = work.claims.find(plan.team, plan.key);
      if (known !== undefined && known.result?.outcome !== 'not-run') {
        const found = await earlier.resolve(plan, known, signal);
        if (found.kind !== 'released') {
          return found;
        }
        continue;
      }
      if (this.parts.appender.pending >= this.parts.maxPending) {
        return { kind: 'unavailable' };
      }
      const verdict = await this.#propose(plan, signal);
      if (verdict.kind !== 'lost') {
        return verdict;
      }
    }
    return { kind: 'unavailable' };
  }

  /** Records how a claimed request ended. */
  finish(plan: { key: string; team: string }, claimId: string, end: ClaimEnd): void {
    if (end.kind === 'answered') {
      this.parts.kept.put(claimId, { answer: end.answer, outcome: 'answered' });
    }
    if (end.kind === 'unknown') {
      this.parts.kept.put(claimId, { outcome: 'unknown' });
    }
    this.parts.appender.append(
      {
        ...toResult(end),
        at: this.parts.timers.now(),
        by: this.parts.holder.entry,
        claim: claimId,
        id: randomUUID(),
        key: plan.key,
        kind: 'outcome',
        scope: plan.team,
        v: 1,
      },
      this.parts.signal,
    );
  }

  async #propose(
    plan: RequestPlan & { key: string },
    signal: AbortSignal,
  ): Promise<ClaimAnswer | { kind: 'lost' }> {
    const { appender, holder, timers, work } = this.parts;
    const claimId = randomUUID();
    const verdict = work.verdictOf(claimId, signal);
    const now = timers.now();
    appender.append(
      {
        at: now,
        by: holder.entry,
        deadlineAt: now + plan.deadlineMs,
        digest: plan.digest,
        entry: holder.entry,
        id: claimId,
        incarnation: holder.incarnation,
        key: plan.key,
        kind: 'claim',
        scope: plan.team,
        v: 1,
      },
      signal,
    );
    switch (await verdict) {
      case 'duplicate':
      case 'held':
        return { claimId, kind: 'held' };
      case 'expired':
        return { kind: 'expired' };
      case 'lost':
        return { kind: 'lost' };
      case undefined:
        // The record may still reach the log; #closeUnawaited releases the key then.
        return { kind: 'unavailable' };
    }
  }

  // A claim of this process that nobody waits for can't be run any more: its caller was refused, or the
  // record is a repeat of one whose append answer was lost.
  #closeUnawaited(claim: Claim): void {
    const { entry, incarnation } = this.parts.holder;
    if (claim.entry === entry && claim.incarnation === incarnation) {
      this.finish({ key: claim.key, team: claim.scope }, claim.id, { kind: 'not-run' });
    }
  }
}

function toResult(end: ClaimEnd): ClaimResult {
  switch (end.kind) {
    case 'answered':
      return toClaimResult(end.answer);
    case 'streamed':
      return { bodyBytes: end.bodyBytes, outcome: 'answered', status: end.status };
    default:
      return { outcome: end.kind };
  }
}
