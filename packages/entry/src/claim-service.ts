import type { Claim, ClaimResult } from '@sequoiaquay/core';
import type { BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { RequestPlan } from './request-plan';
import type { WorkReplica } from './work-replica';

/** Who claims: an entry process in one of its lives. */
export interface ClaimHolder {
  entry: string;
  incarnation: number;
}

/** What came of the wish to claim a key. */
export type ClaimAnswer =
  | { claimId: string; kind: 'held' }
  | { kind: 'expired' | 'mismatch' | 'other-unfinished' | 'unavailable' }
  | { kind: 'finished'; result: ClaimResult };

/** Largest body that an outcome record carries, in bytes, so that a repeat gets the real answer. */
const MAX_OUTCOME_BODY = 4096;

/** Time for which the outcome record of a request is offered to the log, in ms. */
const OUTCOME_APPEND_MS = 600_000;

/** Claims idempotency keys in the log before the first byte goes to a target. */
export class ClaimService {
  constructor(
    private readonly appender: BatchAppender,
    private readonly work: WorkReplica,
    private readonly holder: ClaimHolder,
    private readonly timers: TimerService,
  ) {}

  /** Claims the key of a request, or finds out what became of an earlier claim of it. */
  async claim(plan: RequestPlan & { key: string }, signal: AbortSignal): Promise<ClaimAnswer> {
    while (!signal.aborted) {
      const known = this.work.caughtUp ? this.work.claims.find(plan.team, plan.key) : undefined;
      if (known !== undefined && known.result?.outcome !== 'not-run') {
        return this.#fromEarlier(plan, known, signal);
      }
      const verdict = await this.#propose(plan, signal);
      if (verdict.kind !== 'lost') {
        return verdict;
      }
    }
    return { kind: 'unavailable' };
  }

  /** Records how a claimed request ended. */
  finish(plan: RequestPlan & { key: string }, claimId: string, result: ClaimResult): void {
    this.appender.append(
      {
        at: this.timers.now(),
        body: result.body !== undefined && result.body.length <= MAX_OUTCOME_BODY ? result.body : undefined,
        by: this.holder.entry,
        claim: claimId,
        contentType: result.contentType,
        id: randomUUID(),
        key: plan.key,
        kind: 'outcome',
        outcome: result.outcome,
        scope: plan.team,
        status: result.status,
        v: 1,
      },
      AbortSignal.timeout(OUTCOME_APPEND_MS),
    );
  }

  async #propose(
    plan: RequestPlan & { key: string },
    signal: AbortSignal,
  ): Promise<ClaimAnswer | { kind: 'lost' }> {
    const claimId = randomUUID();
    const verdict = this.work.verdictOf(claimId, signal);
    const now = this.timers.now();
    this.appender.append(
      {
        at: now,
        by: this.holder.entry,
        deadlineAt: now + plan.deadlineMs,
        digest: plan.digest,
        entry: this.holder.entry,
        id: claimId,
        incarnation: this.holder.incarnation,
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
        // The record may still reach the log; closing it releases the key.
        this.finish(plan, claimId, { outcome: 'not-run' });
        return { kind: 'unavailable' };
    }
  }

  async #fromEarlier(plan: RequestPlan, claim: Claim, signal: AbortSignal): Promise<ClaimAnswer> {
    if (claim.digest !== plan.digest) {
      return { kind: 'mismatch' };
    }
    if (this.work.claims.isExpired(claim, this.timers.now())) {
      return { kind: 'expired' };
    }
    await this.work.outcomeOf(claim, signal);
    return claim.result === undefined
      ? { kind: 'other-unfinished' }
      : { kind: 'finished', result: claim.result };
  }
}
