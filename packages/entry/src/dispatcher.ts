import type { Outcome } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { backoffMs, isServing } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { ByteBudget } from './byte-budget';
import type { ClaimOutcome, ClaimService } from './claim-service';
import type { Grant, GrantRequest, GrantSource } from './grant-source';
import type { LeavingVms } from './leaving-vms';
import type { PauseGuard } from './pause-guard';
import type { CallerRefusal, CallerRefusalReason } from './refusal';
import type { RequestMeter } from './request-meter';
import type { RequestPlan } from './request-plan';
import type { TargetAnswer } from './target-answer';
import type { TargetClient, TargetError } from './target-client';
import type { TargetHealth } from './target-health';

/** Components that RequestDispatcher uses. */
export interface DispatcherDependencies {
  byteBudget: ByteBudget;
  claims: ClaimService;
  grants: GrantSource;
  guard: PauseGuard;
  health: TargetHealth;
  /** VMs reported as leaving by the VM list or by a peer. */
  leaving: LeavingVms;
  meter: RequestMeter;
  replica: FleetReplica;
  /** Aborts when the entry stops; requests that have not been sent are then refused. */
  stopping: AbortSignal;
  targets: TargetClient;
  timers: TimerService;
}

/** An answer and the options for writing it to the caller. */
export interface Delivery {
  answer: TargetAnswer;
  /** Aborts at the caller's deadline. */
  deadlineSignal: AbortSignal;
  /** Whether the target's answer is read to its end even if the caller disconnects. */
  readToEnd: boolean;
}

/** The answer to deliver, or the refusal to send to the caller. */
export type RequestResult = Result<Delivery, CallerRefusal>;

/** Deadlines, abort signals and send state of one request. */
interface RequestContext {
  /** Whether any byte of the request may have reached a target. */
  isSent: boolean;
  /** Whether this entry stopped the last attempt before sending it, for a reason unrelated to the target. */
  isStoppedLocally: boolean;
  /** The caller's deadline on the monotonic clock and the wall clock, in ms. */
  monoDeadline: number;
  /** Aborts the request as long as no byte of it has been written. */
  startSignal: AbortSignal;
  wallDeadline: number;
  /** Aborts the request, even while it is running on a target. */
  workSignal: AbortSignal;
}

type KeyedPlan = RequestPlan & { key: string };
type AttemptResult = Result<TargetAnswer, CallerRefusal>;

/** Maximum attempts per request, including the first one. */
const MAX_ATTEMPTS = 3;

/** Retry delay suggested to callers when the byte budget is exhausted, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 1000;

/** Dispatches requests to targets: claims the key, acquires a slot, sends the request and retries. */
export class RequestDispatcher {
  #activeCount = 0;

  constructor(private readonly deps: DispatcherDependencies) {}

  /** Number of running requests, including those whose caller has disconnected. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /** Runs one request within its deadline; `disconnected` aborts when the caller disconnects. */
  async dispatch(plan: RequestPlan, disconnected: AbortSignal): Promise<RequestResult> {
    if (!this.deps.byteBudget.tryReserve(plan.body.length)) {
      const detail = 'the entry has reached its limit for the size of held request bodies';
      return refused('entry-overloaded', detail, 'not-run', OVERLOAD_RETRY_AFTER_MS);
    }
    try {
      return await this.#runPlan(plan, disconnected);
    } finally {
      this.deps.byteBudget.release(plan.body.length);
    }
  }

  async #runPlan(plan: RequestPlan, disconnected: AbortSignal): Promise<RequestResult> {
    const deadline = AbortSignal.timeout(plan.timeoutMs);
    if (plan.key === undefined || plan.repeatable) {
      const work = AbortSignal.any([disconnected, deadline]);
      const result = await this.#trackActive(
        this.#sendWithRetries(plan, this.#createContext(plan, work, work)),
      );
      return result.map((answer) => ({ answer, readToEnd: false, deadlineSignal: deadline }));
    }
    const result = await this.#runKeyed({ ...plan, key: plan.key }, deadline);
    return result.map((answer) => ({ answer, readToEnd: true, deadlineSignal: deadline }));
  }

  // A request that has been sent is retried only if it is repeatable; an unsent one in either case.
  async #sendWithRetries(plan: RequestPlan, ctx: RequestContext): Promise<AttemptResult> {
    const excluded = new Set<string>();
    let last: AttemptResult = refused('no-target', 'no target was tried', 'not-run');
    let lastVm = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (last.isErr() && attempt > 0 && !(await this.#mayRetry(plan, attempt, ctx, last.error, lastVm))) {
        return last;
      }
      const grant = await this.#acquireGrant(plan, excluded, ctx);
      if (grant.isErr()) {
        return attempt > 0 ? last : err(grant.error);
      }
      last = preferUnknown(last, await this.#sendOnce(plan, grant.value, ctx));
      if (last.isOk() || ctx.startSignal.aborted || (ctx.isSent && !plan.repeatable)) {
        return last;
      }
      lastVm = grant.value.vm;
      excluded.add(lastVm);
    }
    return last;
  }

  // A disconnect or the caller's deadline doesn't stop a keyed request that has been sent: it runs up to
  // the job's timeout, and its outcome is recorded for later requests with the same key.
  async #runKeyed(plan: KeyedPlan, deadline: AbortSignal): Promise<AttemptResult> {
    const work = AbortSignal.timeout(plan.jobSettings.timeoutMs);
    const ctx = this.#createContext(plan, deadline, work);
    const claim = await this.deps.claims.claim(plan, ctx.startSignal);
    this.deps.meter.recordClaimed(plan, claim.kind);
    if (claim.kind !== 'held') {
      return this.#toClaimResult(claim);
    }
    const running = this.#trackActive(this.#runClaimed(plan, claim.claimId, ctx));
    const timedOut = whenAborted(deadline).then(() =>
      ctx.isSent
        ? refused('target-timeout', 'the deadline passed while the request was running', 'unknown')
        : running,
    );
    return Promise.race([running, timedOut]);
  }

  async #runClaimed(plan: KeyedPlan, claimId: string, ctx: RequestContext): Promise<AttemptResult> {
    const result = await this.#sendWithRetries(plan, ctx);
    if (result.isErr()) {
      this.deps.claims.finish(plan, claimId, { kind: result.error.outcome });
      return result;
    }
    this.#recordAnswer(plan, claimId, result.value);
    return result;
  }

  #recordAnswer(plan: KeyedPlan, claimId: string, answer: TargetAnswer): void {
    const { rest, ...whole } = answer;
    if (rest === undefined) {
      this.deps.claims.finish(plan, claimId, { answer: whole, kind: 'answered' });
      return;
    }
    const recorded = rest.ended.then((complete) => {
      const streamed = { bodyBytes: whole.body.length, kind: 'streamed', status: whole.status } as const;
      this.deps.claims.finish(plan, claimId, complete ? streamed : { kind: 'unknown' });
    });
    void this.#trackActive(recorded);
  }

  async #acquireGrant(
    plan: RequestPlan,
    excluded: ReadonlySet<string>,
    ctx: RequestContext,
  ): Promise<Result<Grant, CallerRefusal>> {
    await this.deps.guard.whenFresh(ctx.startSignal);
    const unusable = new Set([...excluded, ...this.deps.health.unusableVms(plan.pool)]);
    const request = toGrantRequest(plan, this.deps.leaving.unionWith(unusable), ctx);
    const grant = await this.deps.grants.acquire(request, ctx.startSignal);
    if (grant.isErr() && this.deps.stopping.aborted) {
      return refused('stopping', 'the entry is stopping', 'not-run', 1000);
    }
    return grant.mapErr((error) => createRefusal(error.reason, error.detail, 'not-run', error.waitMs));
  }

  async #sendOnce(plan: RequestPlan, grant: Grant, ctx: RequestContext): Promise<AttemptResult> {
    const startedAt = this.deps.timers.mono();
    this.deps.meter.recordGranted(plan, grant.vm);
    const result = await this.deps.targets.send({
      address: grant.address,
      beforeSend: () => {
        const reason = this.#findReasonNotToSend(plan, grant, ctx);
        ctx.isStoppedLocally = reason !== undefined;
        return reason;
      },
      body: plan.body,
      contentType: plan.contentType,
      id: plan.id,
      job: plan.job,
      onSent: () => {
        ctx.isSent = true;
        this.deps.meter.recordSent(plan, grant.vm);
      },
      signal: ctx.workSignal,
      startSignal: ctx.startSignal,
    });
    const release = (ok: boolean): void => {
      grant.release({ ok, runMs: this.deps.timers.mono() - startedAt });
    };
    this.#recordHealth(plan.pool, grant.vm, result.isOk(), ctx);
    if (result.isErr()) {
      release(false);
      return this.#toErrorResult(result.error, ctx);
    }
    // The grant stays in flight until the last byte of the answer has been read.
    void (result.value.rest?.ended ?? Promise.resolve(true)).then(release);
    return ok(result.value);
  }

  // A disconnect of the caller or a stop of this entry isn't counted against the target; a missed deadline is.
  #recordHealth(pool: string, vm: string, answered: boolean, ctx: RequestContext): void {
    const interrupted = ctx.startSignal.aborted && this.deps.timers.mono() < ctx.monoDeadline;
    const unsentAtDeadline = ctx.startSignal.aborted && !ctx.isSent;
    if (answered || !(ctx.isStoppedLocally || interrupted || unsentAtDeadline)) {
      this.deps.health.record(pool, vm, answered);
    }
  }

  // Retrying a request that this entry stopped before sending doesn't consume the retry budget.
  async #mayRetry(
    plan: RequestPlan,
    attempt: number,
    ctx: RequestContext,
    last: CallerRefusal,
    vm: string,
  ): Promise<boolean> {
    const allowed = ctx.isStoppedLocally || (await this.#waitForRetry(plan, attempt, ctx));
    ctx.isStoppedLocally = false;
    if (allowed) {
      this.deps.meter.recordRetried(plan, vm, last.reason);
    }
    return allowed;
  }

  async #waitForRetry(plan: RequestPlan, attempt: number, ctx: RequestContext): Promise<boolean> {
    const { health, timers } = this.deps;
    const pauseMs = backoffMs(attempt, plan.id);
    if (timers.mono() + pauseMs >= ctx.monoDeadline || !health.tryConsumeRetry(plan.pool)) {
      return false;
    }
    await timers.sleep(pauseMs, ctx.startSignal);
    return !ctx.startSignal.aborted;
  }

  #toErrorResult(error: TargetError, ctx: RequestContext): AttemptResult {
    if (error.isSent) {
      return refused(ctx.workSignal.aborted ? 'target-timeout' : 'target-failed', error.message, 'unknown');
    }
    return this.deps.stopping.aborted
      ? refused('stopping', 'the entry is stopping', 'not-run', 1000)
      : refused('target-unreachable', error.message, 'not-run');
  }

  #findReasonNotToSend(plan: RequestPlan, grant: Grant, ctx: RequestContext): string | undefined {
    const { guard, leaving, replica, timers } = this.deps;
    if (timers.mono() >= ctx.monoDeadline || timers.now() >= ctx.wallDeadline) {
      return 'the deadline has passed';
    }
    if (!guard.isFresh()) {
      return 'the process was paused and its fleet state is not current';
    }
    const vm = replica.state.vms.get(grant.vm);
    if (!grant.isValid()) {
      return 'the lease of the slot has expired';
    }
    const serves = vm?.pool === plan.pool && isServing(vm) && !leaving.has(vm.id);
    return serves ? undefined : `VM ${grant.vm} has left service in pool ${plan.pool}`;
  }

  #createContext(plan: RequestPlan, start: AbortSignal, work: AbortSignal): RequestContext {
    return {
      monoDeadline: this.deps.timers.mono() + plan.timeoutMs,
      isSent: false,
      startSignal: AbortSignal.any([start, this.deps.stopping]),
      isStoppedLocally: false,
      wallDeadline: this.deps.timers.now() + plan.timeoutMs,
      workSignal: work,
    };
  }

  async #trackActive<T>(running: Promise<T>): Promise<T> {
    this.#activeCount += 1;
    try {
      return await running;
    } finally {
      this.#activeCount -= 1;
    }
  }

  #toClaimResult(claim: Exclude<ClaimOutcome, { kind: 'held' }>): AttemptResult {
    switch (claim.kind) {
      case 'ended-unknown':
        return refused(
          'key-in-use',
          'an earlier request with this key ended without a complete answer',
          'unknown',
        );
      case 'expired':
        return refused('key-expired', 'the key was used before and its outcome is no longer kept', 'unknown');
      case 'finished':
        return ok(claim.answer);
      case 'holder-gone':
        return refused(
          'holder-gone',
          'the entry that handled this key ended before the outcome was recorded',
          'unknown',
        );
      case 'mismatch':
        return refused('key-mismatch', 'the key was used before for another request', 'not-run');
      case 'not-kept':
        return refused(
          'answer-not-kept',
          'the request was answered; its answer is no longer available',
          'unknown',
        );
      case 'unavailable':
        return this.deps.stopping.aborted
          ? refused('stopping', 'the entry is stopping', 'not-run', 1000)
          : refused('claim-unavailable', 'the key could not be claimed in time', 'not-run', 1000);
      case 'unfinished':
        return refused(
          'key-in-use',
          'an earlier request with this key has no known outcome yet',
          'unknown',
          1000,
        );
    }
  }
}

function toGrantRequest(plan: RequestPlan, excluded: ReadonlySet<string>, ctx: RequestContext): GrantRequest {
  return {
    bytes: plan.body.length,
    deadlineAt: ctx.monoDeadline,
    excluded,
    job: plan.job,
    pool: plan.pool,
    team: plan.team,
    urgent: plan.jobSettings.urgent,
  };
}

// Once an attempt may have run on a target, the outcome stays unknown, whatever later attempts report.
function preferUnknown(earlier: AttemptResult, later: AttemptResult): AttemptResult {
  return later.isErr() && earlier.isErr() && earlier.error.outcome === 'unknown' ? earlier : later;
}

function whenAborted(signal: AbortSignal): Promise<void> {
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

function refused(...args: Parameters<typeof createRefusal>): Result<never, CallerRefusal> {
  return err(createRefusal(...args));
}

function createRefusal(
  reason: CallerRefusalReason,
  detail: string,
  outcome: Exclude<Outcome, 'answered'>,
  waitMs?: number,
): CallerRefusal {
  const retryAfterS = waitMs === undefined ? Maybe.nothing<number>() : Maybe.just(Math.ceil(waitMs / 1000));
  return { detail, outcome, reason, retryAfterS };
}
