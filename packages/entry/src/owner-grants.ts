import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import type { Grant, GrantRefusal, GrantRequest, GrantResult, GrantSource } from './grant-source';
import type { GrantInUse, GrantsInUse } from './grants-in-use';
import type { LiveEntry } from './live-members';
import type { MemberShareGrants } from './member-share-grants';
import type { OwnerLink } from './owner-link';
import type { OwnerView } from './owner-view';
import type { AcquireAnswer, AcquireMessage } from './queue-messages';

/** Components that OwnerGrants uses. */
export interface OwnerGrantsDependencies {
  entry: string;
  inUse: GrantsInUse;
  link: OwnerLink;
  memberShare: MemberShareGrants;
  owners: OwnerView;
  /** Aborts when the entry stops; waiting requests are then refused. */
  stopping: AbortSignal;
  timers: TimerService;
}

/** Maximum wait of one poll of an owner, in ms. */
const MAX_POLL_WAIT_MS = 1000;

/** Maximum wait for a slot of the member share before the owner is tried again, in ms. */
const MEMBER_SHARE_WAIT_MS = 1000;

/** Retry delay for finding an owner while this entry has not joined, in ms. */
const NO_OWNER_RETRY_DELAY_MS = 100;

/** Interval of the check for changed owners, in ms; shorter than the time a new owner waits for reports. */
const OWNER_CHECK_INTERVAL_MS = 100;

/** Interval of lease renewals, in ms; a fifth of the lease, so that four lost renewals are tolerated. */
const RENEW_INTERVAL_MS = 1000;

type AcquireResult = Result<Grant, GrantRefusal>;

/** Counters of acquired grants and of calls that an owner did not answer. */
export interface OwnerGrantsCounters {
  fromMemberShare: number;
  fromOwner: number;
  ownerUnanswered: number;
}

/** Acquires grants from the owner of a pool's queue, or from the member share while no owner answers. */
export class OwnerGrants implements GrantSource {
  readonly counters: OwnerGrantsCounters = { fromOwner: 0, fromMemberShare: 0, ownerUnanswered: 0 };
  #ownersVersion = '';
  readonly #reportedOwners = new Map<string, string>();

  constructor(private readonly deps: OwnerGrantsDependencies) {}

  /** Renews the grants in use and reports them to new owners until the signal aborts. */
  start(signal: AbortSignal): void {
    this.deps.timers.every(
      RENEW_INTERVAL_MS,
      () => {
        this.#renewAll();
      },
      signal,
    );
    this.deps.timers.every(
      OWNER_CHECK_INTERVAL_MS,
      () => {
        const version = this.deps.owners.version();
        if (version !== this.#ownersVersion) {
          this.#ownersVersion = version;
          this.#renewAll();
        }
      },
      signal,
    );
  }

  async acquire(req: GrantRequest, caller: AbortSignal): Promise<AcquireResult> {
    const wait = new AbortController();
    const end = (): void => {
      wait.abort();
    };
    caller.addEventListener('abort', end, { once: true });
    this.deps.stopping.addEventListener('abort', end, { once: true });
    try {
      return await this.#acquire(req, caller, wait.signal);
    } finally {
      caller.removeEventListener('abort', end);
      this.deps.stopping.removeEventListener('abort', end);
    }
  }

  async #acquire(req: GrantRequest, caller: AbortSignal, signal: AbortSignal): Promise<AcquireResult> {
    const id = randomUUID();
    while (!signal.aborted && !caller.aborted && !this.deps.stopping.aborted) {
      const answer = await this.#tryOnce(id, req, signal);
      if (answer !== undefined) {
        return answer;
      }
    }
    return this.deps.stopping.aborted
      ? err({ detail: 'the entry is stopping', reason: 'stopping', waitMs: 1000 })
      : err({ detail: 'no slot became free in time', reason: 'deadline-unreachable', waitMs: 1000 });
  }

  async #tryOnce(id: string, req: GrantRequest, signal: AbortSignal): Promise<AcquireResult | undefined> {
    const owner = this.deps.owners.ownerOf(req.pool);
    if (owner !== undefined && !this.deps.link.isUnresponsive(owner)) {
      return this.#acquireFromOwner(owner, id, req, signal);
    }
    if (this.deps.owners.hasJoined) {
      return this.#acquireFromMemberShare(id, req, signal);
    }
    await this.deps.timers.sleep(NO_OWNER_RETRY_DELAY_MS, signal);
    return undefined;
  }

  async #acquireFromOwner(
    owner: LiveEntry,
    id: string,
    req: GrantRequest,
    signal: AbortSignal,
  ): Promise<AcquireResult | undefined> {
    if (!(await this.#ensureReported(owner, req.pool))) {
      return undefined;
    }
    const acquired = await this.deps.link.acquire(owner, this.#toAcquireMessage(id, req), signal);
    if (signal.aborted) {
      // The owner may have granted a slot already, so the request is released in any case.
      void this.deps.link.release(owner, { id, pool: req.pool });
      return undefined;
    }
    if (acquired.isErr() || acquired.value.kind === 'not-owner') {
      this.#recordUnanswered(owner);
      void this.deps.link.release(owner, { id, pool: req.pool });
      return undefined;
    }
    return this.#toResult(acquired.value, id, req);
  }

  #toResult(answer: AcquireAnswer, id: string, req: GrantRequest): AcquireResult | undefined {
    switch (answer.kind) {
      case 'granted':
        this.counters.fromOwner += 1;
        return ok(this.#createGrant(id, req, answer, this.deps.timers.mono() + answer.leaseMs));
      case 'not-owner':
      case 'waiting':
        return undefined;
      case 'refused':
        return err({ detail: answer.detail, reason: answer.reason, waitMs: answer.waitMs });
    }
  }

  async #acquireFromMemberShare(
    id: string,
    req: GrantRequest,
    signal: AbortSignal,
  ): Promise<AcquireResult | undefined> {
    const timeout = createTimeoutSignal(signal, MEMBER_SHARE_WAIT_MS);
    const chosen = await this.deps.memberShare.choose(req, timeout);
    if (chosen.isErr()) {
      return chosen.error.reason === 'deadline-unreachable' ? undefined : err(chosen.error);
    }
    this.counters.fromMemberShare += 1;
    return ok(this.#createGrant(id, req, chosen.value, Infinity));
  }

  #createGrant(
    id: string,
    req: GrantRequest,
    target: { address: string; vm: string },
    expiresAt: number,
  ): Grant {
    const { job, pool, team } = req;
    const startedAt = this.deps.timers.mono();
    const used: GrantInUse = { expiresAt, id, job, pool, startedAt, team, vm: target.vm };
    this.deps.inUse.add(used);
    return {
      address: target.address,
      release: (result) => {
        this.#release(used, result);
      },
      isValid: () => this.deps.timers.mono() < used.expiresAt,
      vm: target.vm,
    };
  }

  #release(used: GrantInUse, result: GrantResult): void {
    if (!this.deps.inUse.remove(used)) {
      return;
    }
    const owner = this.deps.owners.ownerOf(used.pool);
    if (owner !== undefined && !this.deps.link.isUnresponsive(owner)) {
      void this.deps.link.release(owner, { id: used.id, pool: used.pool, ...result });
    }
    if (result.ok) {
      this.deps.link.recordRunTime(owner, used.pool, used.job, result.runMs);
    }
    this.deps.memberShare.notifyReleased(used.pool);
  }

  #toAcquireMessage(id: string, req: GrantRequest): AcquireMessage {
    const leftMs = Math.max(0, req.deadlineAt - this.deps.timers.mono());
    return {
      bytes: req.bytes,
      excluded: [...req.excluded],
      id,
      job: req.job,
      leftMs,
      member: this.deps.entry,
      pool: req.pool,
      team: req.team,
      urgent: req.urgent,
      waitMs: Math.min(MAX_POLL_WAIT_MS, leftMs),
    };
  }

  // Reports the grants in use to a new owner before a slot is requested from it.
  async #ensureReported(owner: LiveEntry, pool: string): Promise<boolean> {
    if (this.#reportedOwners.get(pool) === owner.name) {
      return true;
    }
    const reported = await this.#reportGrants(owner, pool);
    if (reported) {
      this.#reportedOwners.set(pool, owner.name);
    }
    return reported;
  }

  async #reportGrants(owner: LiveEntry, pool: string): Promise<boolean> {
    const grants = this.deps.inUse.toReport(pool);
    const reported = await this.deps.link.report(owner, { grants, member: this.deps.entry, pool });
    if (reported.isErr()) {
      this.#recordUnanswered(owner);
    }
    return reported.isOk();
  }

  #renewAll(): void {
    for (const pool of new Set([...this.deps.inUse.pools, ...this.#reportedOwners.keys()])) {
      void this.#renew(pool);
    }
  }

  async #renew(pool: string): Promise<void> {
    const owner = this.deps.owners.ownerOf(pool);
    if (
      owner === undefined ||
      this.deps.link.isUnresponsive(owner) ||
      !(await this.#ensureReported(owner, pool))
    ) {
      return;
    }
    const ids = this.deps.inUse.toReport(pool).map((grant) => grant.id);
    if (ids.length === 0) {
      return;
    }
    const renewed = await this.deps.link.renew(owner, { ids, pool });
    if (renewed.isErr()) {
      this.#recordUnanswered(owner);
      return;
    }
    if (renewed.value.unknown.length > 0) {
      await this.#reportGrants(owner, pool);
    }
    this.deps.inUse.extendLeases(pool, renewed.value.leaseMs);
  }

  #recordUnanswered(owner: LiveEntry): void {
    this.counters.ownerUnanswered += 1;
    this.deps.link.markUnresponsive(owner);
  }
}
