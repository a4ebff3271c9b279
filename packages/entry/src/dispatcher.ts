import type { Outcome } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { backoffMs, isServing } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { ByteBudget } from './byte-budget';
import type { ClaimAnswer, ClaimService } from './claim-service';
import type { Grant, GrantRequest, GrantSource } from './grant-source';
import type { CallerRefusal, CallerRefusalReason } from './refusal';
import type { RequestPlan } from './request-plan';
import type { TargetAnswer, TargetClient } from './target-client';
import type { TargetHealth } from './target-health';

/** Parts of an entry that carry a request to a target. */
export interface DispatcherParts {
  bytes: ByteBudget;
  claims: ClaimService;
  grants: GrantSource;
  health: TargetHealth;
  replica: FleetReplica;
  targets: TargetClient;
  timers: TimerService;
}

/** What the caller gets when a target answered. */
export type Dispatched = Result<TargetAnswer, CallerRefusal>;

/** Tries of one repeatable request, the first included. */
const MAX_TRIES = 3;

/** Wait given to callers when the entry holds too many request bytes, in ms. */
const OVERLOAD_WAIT_MS = 1000;

/** Carries requests to targets: claim, slot, send, retry. */
export class RequestDispatcher {
  constructor(private readonly parts: DispatcherParts) {}

  /** Handles one request within its deadline. */
  async dispatch(plan: RequestPlan, caller: AbortSignal): Promise<Dispatched> {
    if (!this.parts.bytes.take(plan.body.length)) {
      return refuse(
        'entry-overloaded',
        'the entry holds too many request bytes',
        'not-run',
        OVERLOAD_WAIT_MS,
      );
    }
    try {
      return await this.#run(plan, caller);
    } finally {
      this.parts.bytes.give(plan.body.length);
    }
  }

  async #run(plan: RequestPlan, caller: AbortSignal): Promise<Dispatched> {
    const deadlineAt = this.parts.timers.mono() + plan.deadlineMs;
    const limit = AbortSignal.any([caller, AbortSignal.timeout(plan.deadlineMs)]);
    if (plan.key === undefined || plan.repeatable) {
      return this.#runRepeatable(plan, deadlineAt, limit);
    }
    return this.#runClaimed({ ...plan, key: plan.key }, deadlineAt);
  }

  async #runRepeatable(plan: RequestPlan, deadlineAt: number, limit: AbortSignal): Promise<Dispatched> {
    const excluded = new Set<string>();
    let last: Dispatched = refuse('no-target', 'no target was tried', 'not-run');
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (
        last.isErr() &&
        attempt > 0 &&
        !(await this.#mayRetry(plan, attempt, last.error, deadlineAt, limit))
      ) {
        return last;
      }
      const grant = await this.parts.grants.acquire(this.#grantRequest(plan, excluded, deadlineAt), limit);
      if (grant.isErr()) {
        return attempt > 0
          ? last
          : refuse(grant.error.reason, grant.error.detail, 'not-run', grant.error.waitMs);
      }
      last = await this.#send(plan, grant.value, deadlineAt, limit);
      if (last.isOk() || limit.aborted) {
        return last;
      }
      excluded.add(grant.value.vm);
    }
    return last;
  }

  // A caller that hangs up doesn't stop claimed work: its outcome is recorded for a repeat of the key.
  async #runClaimed(plan: RequestPlan & { key: string }, deadlineAt: number): Promise<Dispatched> {
    const limit = AbortSignal.timeout(plan.deadlineMs);
    const claim = await this.parts.claims.claim(plan, limit);
    if (claim.kind !== 'held') {
      return fromClaim(claim);
    }
    const grant = await this.parts.grants.acquire(this.#grantRequest(plan, new Set(), deadlineAt), limit);
    const answer = grant.isErr()
      ? refuse(grant.error.reason, grant.error.detail, 'not-run', grant.error.waitMs)
      : await this.#send(plan, grant.value, deadlineAt, limit);
    this.parts.claims.finish(
      plan,
      claim.claimId,
      answer.isErr()
        ? { outcome: answer.error.outcome }
        : {
            body: answer.value.body.toString('utf8'),
            contentType: answer.value.contentType,
            outcome: 'answered',
            status: answer.value.status,
          },
    );
    return answer;
  }

  async #send(plan: RequestPlan, grant: Grant, deadlineAt: number, signal: AbortSignal): Promise<Dispatched> {
    const startedAt = this.parts.timers.mono();
    let stopped: CallerRefusalReason | undefined;
    const sent = await this.parts.targets.send({
      address: grant.address,
      beforeSend: () => {
        stopped = this.#reasonNotToSend(grant, deadlineAt);
        return stopped;
      },
      body: plan.body,
      contentType: plan.contentType,
      id: plan.id,
      job: plan.job,
      signal,
    });
    grant.release({ ok: sent.isOk(), runMs: this.parts.timers.mono() - startedAt });
    if (sent.isOk()) {
      this.parts.health.record(plan.pool, grant.vm, true);
      return ok(sent.value);
    }
    if (stopped !== undefined) {
      return refuse(stopped, 'the request was stopped before it was sent', 'not-run');
    }
    // A caller that hangs up says nothing about the target; a missed deadline does.
    if (!signal.aborted || this.parts.timers.mono() >= deadlineAt) {
      this.parts.health.record(plan.pool, grant.vm, false);
    }
    if (!sent.error.sent) {
      return refuse('target-unreachable', sent.error.message, 'not-run');
    }
    const reason = signal.aborted ? 'target-timeout' : 'target-failed';
    return refuse(reason, sent.error.message, 'unknown');
  }

  #reasonNotToSend(grant: Grant, deadlineAt: number): CallerRefusalReason | undefined {
    if (this.parts.timers.mono() >= deadlineAt) {
      return 'deadline-unreachable';
    }
    const vm = this.parts.replica.state.vms.get(grant.vm);
    return vm !== undefined && isServing(vm) && grant.valid() ? undefined : 'no-target';
  }

  // A request that was never sent because its VM left or its lease expired needs no retry budget.
  async #mayRetry(
    plan: RequestPlan,
    attempt: number,
    last: CallerRefusal,
    deadlineAt: number,
    limit: AbortSignal,
  ): Promise<boolean> {
    if (last.reason === 'no-target' || last.reason === 'deadline-unreachable') {
      return last.reason === 'no-target';
    }
    const pauseMs = backoffMs(attempt, plan.id);
    if (this.parts.timers.mono() + pauseMs >= deadlineAt || !this.parts.health.takeRetry(plan.pool)) {
      return false;
    }
    await this.parts.timers.sleep(pauseMs, limit);
    return !limit.aborted;
  }

  #grantRequest(plan: RequestPlan, tried: ReadonlySet<string>, deadlineAt: number): GrantRequest {
    return {
      bytes: plan.body.length,
      deadlineAt,
      excluded: new Set([...tried, ...this.parts.health.avoided(plan.pool)]),
      job: plan.job,
      pool: plan.pool,
      team: plan.team,
      urgent: plan.jobSettings.urgent,
    };
  }
}

function fromClaim(claim: Exclude<ClaimAnswer, { kind: 'held' }>): Dispatched {
  switch (claim.kind) {
    case 'expired':
      return refuse('key-expired', 'the key was used before and its outcome is no longer kept', 'unknown');
    case 'finished':
      return claim.result.status === undefined || claim.result.outcome !== 'answered'
        ? refuse('key-in-use', 'an earlier request with this key ended without a whole answer', 'unknown')
        : ok({
            body: Buffer.from(claim.result.body ?? ''),
            contentType: claim.result.contentType ?? 'application/octet-stream',
            status: claim.result.status,
          });
    case 'mismatch':
      return refuse('key-mismatch', 'the key was used before with another body', 'not-run');
    case 'other-unfinished':
      return refuse('key-in-use', 'an earlier request with this key has no known outcome', 'unknown');
    case 'unavailable':
      return refuse('claim-unavailable', 'the key could not be claimed in time', 'not-run', 1000);
  }
}

function refuse(
  reason: CallerRefusalReason,
  detail: string,
  outcome: Exclude<Outcome, 'answered'>,
  waitMs?: number,
): Result<never, CallerRefusal> {
  const retryAfterS = waitMs === undefined ? Maybe.nothing<number>() : Maybe.just(Math.ceil(waitMs / 1000));
  return err({ detail, outcome, reason, retryAfterS });
}
