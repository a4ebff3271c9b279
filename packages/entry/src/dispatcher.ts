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
import type { LeavingVms } from './leaving-vms';
import type { PauseGuard } from './pause-guard';
import type { CallerRefusal, CallerRefusalReason } from './refusal';
import type { RequestMeter } from './request-meter';
import type { RequestPlan } from './request-plan';
import type { TargetAnswer } from './target-answer';
import type { TargetClient, TargetError } from './target-client';
import type { TargetHealth } from './target-health';

/** Parts of an entry that carry a request to a target. */
export interface DispatcherParts {
  bytes: ByteBudget;
  claims: ClaimService;
  grants: GrantSource;
  guard: PauseGuard;
  health: TargetHealth;
  /** VMs that a notice reports as leaving. */
  leaving: LeavingVms;
  meter: RequestMeter;
  replica: FleetReplica;
  /** Aborts when the entry stops: work that has not been sent is refused. */
  stopping: AbortSignal;
  targets: TargetClient;
  timers: TimerService;
}

/** An answer and how it is to be given to the caller. */
export interface Delivery {
  answer: TargetAnswer;
  /** Whether the target's answer is read to its end even when the caller can't take it. */
  keepReading: boolean;
  /** Aborts at the caller's deadline. */
  limit: AbortSignal;
}

/** What the caller gets when a target answered. */
export type Dispatched = Result<Delivery, CallerRefusal>;

/** Limits of one request. */
interface Limits {
  /** The caller's deadline on the monotonic clock and the wall clock, in ms. */
  monoDeadline: number;
  /** Whether a byte of the request may have reached a target. */
  sent: boolean;
  /** Ends the request while no byte of it has been written. */
  start: AbortSignal;
  /** Whether this entry stopped the last try before it was sent, for a reason that is not the target's. */
  stoppedHere: boolean;
  wallDeadline: number;
  /** Ends the request, also while it runs. */
  work: AbortSignal;
}

type KeyedPlan = RequestPlan & { key: string };
type Sent = Result<TargetAnswer, CallerRefusal>;

/** Tries of one repeatable request, the first included. */
const MAX_TRIES = 3;

/** Wait given to callers when the entry holds too many request bytes, in ms. */
const OVERLOAD_WAIT_MS = 1000;

/** Carries requests to targets: claim, slot, send, retry. */
export class RequestDispatcher {
  #active = 0;

  constructor(private readonly parts: DispatcherParts) {}

  /** Number of requests that run, those included whose caller has gone. */
  get active(): number {
    return this.#active;
  }

  /** Handles one request within its deadline. */
  async dispatch(plan: RequestPlan, gone: AbortSignal): Promise<Dispatched> {
    if (!this.parts.bytes.take(plan.body.length)) {
      const detail = 'the entry holds too many request bytes';
      return refuse('entry-overloaded', detail, 'not-run', OVERLOAD_WAIT_MS);
    }
    try {
      return await this.#run(plan, gone);
    } finally {
      this.parts.bytes.give(plan.body.length);
    }
  }

  async #run(plan: RequestPlan, gone: AbortSignal): Promise<Dispatched> {
    const deadline = AbortSignal.timeout(plan.deadlineMs);
    if (plan.key === undefined || plan.repeatable) {
      const work = AbortSignal.any([gone, deadline]);
      const sent = await this.#counted(this.#tryTargets(plan, this.#limits(plan, work, work)));
      return sent.map((answer) => ({ answer, keepReading: false, limit: deadline }));
    }
    const sent = await this.#runClaimed({ ...plan, key: plan.key }, deadline);
    return sent.map((answer) => ({ answer, keepReading: true, limit: deadline }));
  }

  // Work that has been sent is tried again only when it is repeatable; work that hasn't, in either case.
  async #tryTargets(plan: RequestPlan, limits: Limits): Promise<Sent> {
    const excluded = new Set<string>();
    let last: Sent = refuse('no-target', 'no target was tried', 'not-run');
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (attempt > 0 && !(await this.#mayRetry(plan, attempt, limits))) {
        return last;
      }
      const grant = await this.#grant(plan, excluded, limits);
      if (grant.isErr()) {
        return attempt > 0 ? last : err(grant.error);
      }
      last = worse(last, await this.#send(plan, grant.value, limits));
      if (last.isOk() || limits.start.aborted || (limits.sent && !plan.repeatable)) {
        return last;
      }
      excluded.add(grant.value.vm);
      if (attempt + 1 < MAX_TRIES) {
        this.parts.meter.retried(plan, grant.value.vm, last.error.reason);
      }
    }
    return last;
  }

  // A caller that hangs up or whose deadline passes doesn't stop claimed work that has been sent: it goes
  // on up to the job's timeout, and its outcome is recorded for a repeat of the key.
  async #runClaimed(plan: KeyedPlan, deadline: AbortSignal): Promise<Sent> {
    const work = AbortSignal.timeout(plan.jobSettings.timeoutMs);
    const limits = this.#limits(plan, deadline, work);
    const claim = await this.parts.claims.claim(plan, limits.start);
    this.parts.meter.claimed(plan, claim.kind);
    if (claim.kind !== 'held') {
      return this.#fromClaim(claim);
    }
    const running = this.#counted(this.#runHeld(plan, claim.claimId, limits));
    const late = aborted(deadline).then(() =>
      limits.sent
        ? refuse('target-timeout', 'the deadline passed while the request was running', 'unknown')
        : running,
    );
    return Promise.race([running, late]);
  }

  async #runHeld(plan: KeyedPlan, claimId: string, limits: Limits): Promise<Sent> {
    const sent = await this.#tryTargets(plan, limits);
    if (sent.isErr()) {
      this.parts.claims.finish(plan, claimId, { kind: sent.error.outcome });
      return sent;
    }
    this.#finishAnswered(plan, claimId, sent.value);
    return sent;
  }

  #finishAnswered(plan: KeyedPlan, claimId: string, answer: TargetAnswer): void {
    const { rest, ...whole } = answer;
    if (rest === undefined) {
      this.parts.claims.finish(plan, claimId, { answer: whole, kind: 'answered' });
      return;
    }
    const recorded = rest.ended.then((complete) => {
      const streamed = { bodyBytes: whole.body.length, kind: 'streamed', status: whole.status } as const;
      this.parts.claims.finish(plan, claimId, complete ? streamed : { kind: 'unknown' });
    });
    void this.#counted(recorded);
  }

  async #grant(
    plan: RequestPlan,
    excluded: ReadonlySet<string>,
    limits: Limits,
  ): Promise<Result<Grant, CallerRefusal>> {
    await this.parts.guard.whenFresh(limits.start);
    const unusable = new Set([...excluded, ...this.parts.health.avoided(plan.pool)]);
    const request = grantRequest(plan, this.parts.leaving.with(unusable), limits);
    const grant = await this.parts.grants.acquire(request, limits.start);
    if (grant.isErr() && this.parts.stopping.aborted) {
      return refuse('stopping', 'the entry is stopping', 'not-run', 1000);
    }
    return grant.mapErr((error) => refusal(error.reason, error.detail, 'not-run', error.waitMs));
  }

  async #send(plan: RequestPlan, grant: Grant, limits: Limits): Promise<Sent> {
    const startedAt = this.parts.timers.mono();
    this.parts.meter.granted(plan, grant.vm);
    const sent = await this.parts.targets.send({
      address: grant.address,
      beforeSend: () => {
        const reason = this.#reasonNotToSend(plan, grant, limits);
        limits.stoppedHere = reason !== undefined;
        return reason;
      },
      body: plan.body,
      contentType: plan.contentType,
      id: plan.id,
      job: plan.job,
      onSent: () => {
        limits.sent = true;
        this.parts.meter.sent(plan, grant.vm);
      },
      signal: limits.work,
      startSignal: limits.start,
    });
    const release = (ok: boolean): void => {
      grant.release({ ok, runMs: this.parts.timers.mono() - startedAt });
    };
    this.#recordHealth(plan.pool, grant.vm, sent.isOk(), limits);
    if (sent.isErr()) {
      release(false);
      return this.#unanswered(sent.error, limits);
    }
    // A grant counts as in flight until the last byte of the answer.
    void (sent.value.rest?.ended ?? Promise.resolve(true)).then(release);
    return ok(sent.value);
  }

  // A caller that hangs up and a stop of this entry say nothing about the target; a missed deadline does.
  #recordHealth(pool: string, vm: string, answered: boolean, limits: Limits): void {
    const interrupted = limits.start.aborted && this.parts.timers.mono() < limits.monoDeadline;
    const unsentAtDeadline = limits.start.aborted && !limits.sent;
    if (answered || !(limits.stoppedHere || interrupted || unsentAtDeadline)) {
      this.parts.health.record(pool, vm, answered);
    }
  }

  // A request that this entry stopped before it was sent needs no retry budget.
  async #mayRetry(plan: RequestPlan, attempt: number, limits: Limits): Promise<boolean> {
    const { health, timers } = this.parts;
    if (limits.stoppedHere) {
      limits.stoppedHere = false;
      return true;
    }
    const pauseMs = backoffMs(attempt, plan.id);
    if (timers.mono() + pauseMs >= limits.monoDeadline || !health.takeRetry(plan.pool)) {
      return false;
    }
    await timers.sleep(pauseMs, limits.start);
    return !limits.start.aborted;
  }

  #unanswered(error: TargetError, limits: Limits): Sent {
    if (error.sent) {
      return refuse(limits.work.aborted ? 'target-timeout' : 'target-failed', error.message, 'unknown');
    }
    return this.parts.stopping.aborted
      ? refuse('stopping', 'the entry is stopping', 'not-run', 1000)
      : refuse('target-unreachable', error.message, 'not-run');
  }

  #reasonNotToSend(plan: RequestPlan, grant: Grant, limits: Limits): string | undefined {
    const { guard, leaving, replica, timers } = this.parts;
    if (timers.mono() >= limits.monoDeadline || timers.now() >= limits.wallDeadline) {
      return 'the deadline has passed';
    }
    if (!guard.isFresh()) {
      return 'the process was paused and its fleet state is not current';
    }
    const vm = replica.state.vms.get(grant.vm);
    if (!grant.valid()) {
      return 'the lease of the slot has expired';
    }
    const serves = vm?.pool === plan.pool && isServing(vm) && !leaving.has(vm.id);
    return serves ? undefined : `VM ${grant.vm} has left service in pool ${plan.pool}`;
  }

  #limits(plan: RequestPlan, start: AbortSignal, work: AbortSignal): Limits {
    return {
      monoDeadline: this.parts.timers.mono() + plan.deadlineMs,
      sent: false,
      start: AbortSignal.any([start, this.parts.stopping]),
      stoppedHere: false,
      wallDeadline: this.parts.timers.now() + plan.deadlineMs,
      work,
    };
  }

  async #counted<T>(running: Promise<T>): Promise<T> {
    this.#active += 1;
    try {
      return await running;
    } finally {
      this.#active -= 1;
    }
  }

  #fromClaim(claim: Exclude<ClaimAnswer, { kind: 'held' }>): Sent {
    switch (claim.kind) {
      case 'ended-unknown':
        return refuse(
          'key-in-use',
          'an earlier request with this key ended without a whole answer',
          'unknown',
        );
      case 'expired':
        return refuse('key-expired', 'the key was used before and its outcome is no longer kept', 'unknown');
      case 'finished':
        return ok(claim.answer);
      case 'holder-gone':
        return refuse(
          'holder-gone',
          'the entry that handled this key ended before the outcome was recorded',
          'unknown',
        );
      case 'mismatch':
        return refuse('key-mismatch', 'the key was used before for another request', 'not-run');
      case 'not-kept':
        return refuse(
          'answer-not-kept',
          'the request was answered; its answer is no longer available',
          'unknown',
        );
      case 'unavailable':
        return this.parts.stopping.aborted
          ? refuse('stopping', 'the entry is stopping', 'not-run', 1000)
          : refuse('claim-unavailable', 'the key could not be claimed in time', 'not-run', 1000);
      case 'unfinished':
        return refuse(
          'key-in-use',
          'an earlier request with this key has no known outcome yet',
          'unknown',
          1000,
        );
    }
  }
}

function grantRequest(plan: RequestPlan, excluded: ReadonlySet<string>, limits: Limits): GrantRequest {
  return {
    bytes: plan.body.length,
    deadlineAt: limits.monoDeadline,
    excluded,
    job: plan.job,
    pool: plan.pool,
    team: plan.team,
    urgent: plan.jobSettings.urgent,
  };
}

// A request that may have run on one target stays so, whatever came of later tries.
function worse(earlier: Sent, later: Sent): Sent {
  return later.isErr() && earlier.isErr() && earlier.error.outcome === 'unknown' ? earlier : later;
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}

function refuse(...args: Parameters<typeof refusal>): Result<never, CallerRefusal> {
  return err(refusal(...args));
}

function refusal(
  reason: CallerRefusalReason,
  detail: string,
  outcome: Exclude<Outcome, 'answered'>,
  waitMs?: number,
): CallerRefusal {
  const retryAfterS = waitMs === undefined ? Maybe.nothing<number>() : Maybe.just(Math.ceil(waitMs / 1000));
  return { detail, outcome, reason, retryAfterS };
}
