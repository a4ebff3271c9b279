import type { Claim, ClaimResult } from '@sequoiaquay/core';
import type { BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { EarlierClaimResolver } from './earlier-claim-resolver';
import type { RequestPlan } from './request-plan';
import type { ResultCache } from './result-cache';
import type { WholeAnswer } from './target-answer';
import type { WorkReplica } from './work-replica';
import { toClaimResult } from './target-answer';

/** Identifies the entry process that holds a claim, by entry name and incarnation. */
export interface ClaimHolder {
  readonly entry: string;
  readonly incarnation: number;
}

/** Outcome of claiming a key; `held` means that this request may run. */
export type ClaimOutcome =
  | { answer: WholeAnswer; kind: 'finished' }
  | { claimId: string; kind: 'held' }
  | {
      kind:
        'ended-unknown' | 'expired' | 'holder-gone' | 'mismatch' | 'not-kept' | 'unavailable' | 'unfinished';
    };

/** How a claimed request ended. */
export type ClaimedRequestEnd =
  | { answer: WholeAnswer; kind: 'answered' }
  /** A complete answer that was too large to keep; `bodyBytes` is the size of the buffered part. */
  | { bodyBytes: number; kind: 'streamed'; status: number }
  | { kind: 'not-run' | 'unknown' };

/** Components and limits that ClaimService uses. */
export interface ClaimServiceDependencies {
  appender: BatchAppender;
  earlierClaims: EarlierClaimResolver;
  holder: ClaimHolder;
  /** Maximum claim and outcome records pending for the log; above it, claims are refused. */
  maxPendingRecords: number;
  results: ResultCache;
  /** Aborts the attempts to append outcome records. */
  signal: AbortSignal;
  timers: TimerService;
  work: WorkReplica;
}

/** Claims idempotency keys in the log before the first byte of a request is sent to a target. */
export class ClaimService {
  constructor(private readonly deps: ClaimServiceDependencies) {
    deps.work.onUnawaitedClaim((claim) => {
      this.#releaseUnawaited(claim);
    });
  }

  /** Claims the key of a request, or resolves the outcome of an earlier claim of the key. */
  async claim(plan: RequestPlan & { key: string }, signal: AbortSignal): Promise<ClaimOutcome> {
    const { earlierClaims, work } = this.deps;
    await work.whenComplete(signal);
    while (!signal.aborted) {
      const existing = work.claims.find(plan.team, plan.key);
      if (existing !== undefined && existing.result?.outcome !== 'not-run') {
        const resolved = await earlierClaims.resolve(plan, existing, signal);
        if (resolved.kind !== 'released') {
          return resolved;
        }
        continue;
      }
      if (this.deps.appender.pending >= this.deps.maxPendingRecords) {
        return { kind: 'unavailable' };
      }
      const outcome = await this.#appendClaim(plan, signal);
      if (outcome.kind !== 'lost') {
        return outcome;
      }
    }
    return { kind: 'unavailable' };
  }

  /** Records how a claimed request ended. */
  finish(plan: { key: string; team: string }, claimId: string, end: ClaimedRequestEnd): void {
    if (end.kind === 'answered') {
      this.deps.results.put(claimId, { answer: end.answer, outcome: 'answered' });
    }
    if (end.kind === 'unknown') {
      this.deps.results.put(claimId, { outcome: 'unknown' });
    }
    this.deps.appender.append(
      {
        ...toResult(end),
        at: this.deps.timers.now(),
        by: this.deps.holder.entry,
        claim: claimId,
        id: randomUUID(),
        key: plan.key,
        kind: 'outcome',
        scope: plan.team,
        v: 1,
      },
      this.deps.signal,
    );
  }

  async #appendClaim(
    plan: RequestPlan & { key: string },
    signal: AbortSignal,
  ): Promise<ClaimOutcome | { kind: 'lost' }> {
    const { appender, holder, timers, work } = this.deps;
    const claimId = randomUUID();
    const applied = work.whenClaimApplied(claimId, signal);
    const now = timers.now();
    appender.append(
      {
        at: now,
        by: holder.entry,
        deadlineAt: now + plan.timeoutMs,
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
    switch (await applied) {
      case 'duplicate':
      case 'held':
        return { claimId, kind: 'held' };
      case 'expired':
        return { kind: 'expired' };
      case 'lost':
        return { kind: 'lost' };
      case undefined:
        // The record may still reach the log; #releaseUnawaited then releases the key.
        return { kind: 'unavailable' };
    }
  }

  // Releases a claim of this process that no request waits for and that therefore never runs: its caller
  // was refused, or the record was appended again because the response to the first append was lost.
  #releaseUnawaited(claim: Claim): void {
    const { entry, incarnation } = this.deps.holder;
    if (claim.entry === entry && claim.incarnation === incarnation) {
      this.finish({ key: claim.key, team: claim.scope }, claim.id, { kind: 'not-run' });
    }
  }
}

function toResult(end: ClaimedRequestEnd): ClaimResult {
  switch (end.kind) {
    case 'answered':
      return toClaimResult(end.answer);
    case 'streamed':
      return { bodyBytes: end.bodyBytes, outcome: 'answered', status: end.status };
    default:
      return { outcome: end.kind };
  }
}
