import type { Outcome } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { isServing } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { ClaimAnswer, ClaimService } from './claim-service';
import type { Grant, GrantSource } from './grant-source';
import type { CallerRefusal, CallerRefusalReason } from './refusal';
import type { RequestMeter } from './request-meter';
import type { RequestPlan } from './request-plan';
import type { TargetAnswer, TargetClient } from './target-client';

/** Parts of an entry that carry a request to a target. */
export interface DispatcherParts {
  claims: ClaimService;
  grants: GrantSource;
  meter: RequestMeter;
  replica: FleetReplica;
  targets: TargetClient;
  timers: TimerService;
}

/** What the caller gets when a target answered. */
export type Dispatched = Result<TargetAnswer, CallerRefusal>;

/** Tries of one repeatable request, the first included. */
const MAX_TRIES = 3;

/** Carries requests to targets: claim, slot, send, retry. */
export class RequestDispatcher {
  constructor(private readonly parts: DispatcherParts) {}

  /** Handles one request within its deadline. */
  async dispatch(plan: RequestPlan, caller: AbortSignal): Promise<Dispatched> {
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
      const grant = await this.parts.grants.acquire(grantRequest(plan, excluded), limit);
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
      if (attempt + 1 < MAX_TRIES) {
        this.parts.meter.retried(plan, grant.value.vm, last.error.reason);
      }
    }
    return last;
  }

  // A caller that hangs up doesn't stop claimed work: its outcome is recorded for a repeat of the key.
  async #runClaimed(plan: RequestPlan & { key: string }, deadlineAt: number): Promise<Dispatched> {
    const limit = AbortSignal.timeout(plan.deadlineMs);
    const claim = await this.parts.claims.claim(plan, limit);
    this.parts.meter.claimed(plan, claim.kind);
    if (claim.kind !== 'held') {
      return fromClaim(claim);
    }
    const grant = await this.parts.grants.acquire(grantRequest(plan, new Set()), limit);
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
    this.parts.meter.granted(plan, grant.vm);
    const sent = await this.parts.targets.send({
      address: grant.address,
      beforeSend: () => this.#beforeSend(plan, grant, deadlineAt),
      body: plan.body,
      contentType: plan.contentType,
      id: plan.id,
      job: plan.job,
      signal,
    });
    grant.release({ ok: sent.isOk(), runMs: this.parts.timers.mono() - startedAt });
    if (sent.isOk()) {
      return ok(sent.value);
    }
    if (!sent.error.sent) {
      return refuse('target-unreachable', sent.error.message, 'not-run');
    }
    const reason = signal.aborted ? 'target-timeout' : 'target-failed';
    return refuse(reason, sent.error.message, 'unknown');
  }

  #beforeSend(plan: RequestPlan, grant: Grant, deadlineAt: number): string | undefined {
    const reason = this.#reasonNotToSend(grant, deadlineAt);
    if (reason === undefined) {
      this.parts.meter.sent(plan, grant.vm);
    }
    return reason;
  }

  #reasonNotToSend(grant: Grant, deadlineAt: number): string | undefined {
    if (this.parts.timers.mono() >= deadlineAt) {
      return 'the deadline has passed';
    }
    const vm = this.parts.replica.state.vms.get(grant.vm);
    return vm !== undefined && isServing(vm) ? undefined : `VM ${grant.vm} has left service`;
  }
}

function grantRequest(
  plan: RequestPlan,
  excluded: ReadonlySet<string>,
): Parameters<GrantSource['acquire']>[0] {
  return { excluded, job: plan.job, pool: plan.pool, team: plan.team, urgent: plan.jobSettings.urgent };
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
