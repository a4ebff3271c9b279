import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import type { Grant, GrantRefusal, GrantRequest, GrantResult, GrantSource } from './grant-source';
import type { GrantInUse, GrantsInUse } from './grants-in-use';
import type { LiveEntry } from './live-members';
import type { OwnShareGrants } from './own-share-grants';
import type { OwnerLink } from './owner-link';
import type { OwnerView } from './owner-view';
import type { AcquireAnswer, AcquireMessage } from './queue-messages';

/** Parts of an entry that get grants from the owners of the pool queues. */
export interface OwnerGrantsParts {
  entry: string;
  inUse: GrantsInUse;
  link: OwnerLink;
  owners: OwnerView;
  ownShare: OwnShareGrants;
  /** Aborts when the entry stops; requests that wait are then refused. */
  stopping: AbortSignal;
  timers: TimerService;
}

/** Longest wait of one poll of an owner, in ms. */
const POLL_MS = 1000;

/** Time after which a request that waits for the own share asks the owner again, in ms. */
const OWN_SHARE_MS = 1000;

/** Pause of an entry that has not joined before it looks for an owner again, in ms. */
const NO_OWNER_PAUSE_MS = 100;

/** Period at which a change of owners is looked for, in ms; below the time that a new owner waits for reports. */
const OWNER_CHECK_MS = 100;

/** Period of renewal, in ms; a fifth of the lease, so that four lost renewals do no harm. */
const RENEW_MS = 1000;

type Answer = Result<Grant, GrantRefusal>;

/** Counters of the grants of an entry. */
export interface OwnerGrantsCounters {
  fromOwner: number;
  fromOwnShare: number;
  ownerUnanswered: number;
}

/** Gets grants from the owner of each pool's queue, or from the own share while no owner answers. */
export class OwnerGrants implements GrantSource {
  readonly counters: OwnerGrantsCounters = { fromOwner: 0, fromOwnShare: 0, ownerUnanswered: 0 };
  #ownersVersion = '';
  readonly #reportedTo = new Map<string, string>();

  constructor(private readonly parts: OwnerGrantsParts) {}

  /** Renews the grants in use, and reports them to new owners, until the signal aborts. */
  start(signal: AbortSignal): void {
    this.parts.timers.every(
      RENEW_MS,
      () => {
        this.#renewAll();
      },
      signal,
    );
    this.parts.timers.every(
      OWNER_CHECK_MS,
      () => {
        const version = this.parts.owners.version();
        if (version !== this.#ownersVersion) {
          this.#ownersVersion = version;
          this.#renewAll();
        }
      },
      signal,
    );
  }

  async acquire(req: GrantRequest, caller: AbortSignal): Promise<Answer> {
    const wait = new AbortController();
    const end = (): void => {
      wait.abort();
    };
    caller.addEventListener('abort', end, { once: true });
    this.parts.stopping.addEventListener('abort', end, { once: true });
    try {
      return await this.#acquire(req, caller, wait.signal);
    } finally {
      caller.removeEventListener('abort', end);
      this.parts.stopping.removeEventListener('abort', end);
    }
  }

  async #acquire(req: GrantRequest, caller: AbortSignal, signal: AbortSignal): Promise<Answer> {
    const id = randomUUID();
    while (!signal.aborted && !caller.aborted && !this.parts.stopping.aborted) {
      const answer = await this.#tryOnce(id, req, signal);
      if (answer !== undefined) {
        return answer;
      }
    }
    return this.parts.stopping.aborted
      ? err({ detail: 'the entry is stopping', reason: 'stopping', waitMs: 1000 })
      : err({ detail: 'no slot became free in time', reason: 'deadline-unreachable', waitMs: 1000 });
  }

  async #tryOnce(id: string, req: GrantRequest, signal: AbortSignal): Promise<Answer | undefined> {
    const owner = this.parts.owners.ownerOf(req.pool);
    if (owner !== undefined && !this.parts.link.isSilent(owner)) {
      return this.#askOwner(owner, id, req, signal);
    }
    if (this.parts.owners.joined) {
      return this.#useOwnShare(id, req, signal);
    }
    await this.parts.timers.sleep(NO_OWNER_PAUSE_MS, signal);
    return undefined;
  }

  async #askOwner(
    owner: LiveEntry,
    id: string,
    req: GrantRequest,
    signal: AbortSignal,
  ): Promise<Answer | undefined> {
    if (!(await this.#introduce(owner, req.pool))) {
      return undefined;
    }
    const asked = await this.parts.link.acquire(owner, this.#message(id, req), signal);
    if (signal.aborted) {
      // A grant may be on its way back, so the owner is told in every case.
      void this.parts.link.release(owner, { id, pool: req.pool });
      return undefined;
    }
    if (asked.isErr() || asked.value.kind === 'not-owner') {
      this.#unanswered(owner);
      void this.parts.link.release(owner, { id, pool: req.pool });
      return undefined;
    }
    return this.#fromAnswer(asked.value, id, req);
  }

  #fromAnswer(answer: AcquireAnswer, id: string, req: GrantRequest): Answer | undefined {
    switch (answer.kind) {
      case 'granted':
        this.counters.fromOwner += 1;
        return ok(this.#use(id, req, answer, this.parts.timers.mono() + answer.leaseMs));
      case 'not-owner':
      case 'waiting':
        return undefined;
      case 'refused':
        return err({ detail: answer.detail, reason: answer.reason, waitMs: answer.waitMs });
    }
  }

  async #useOwnShare(id: string, req: GrantRequest, signal: AbortSignal): Promise<Answer | undefined> {
    const limit = createTimeoutSignal(signal, OWN_SHARE_MS);
    const chosen = await this.parts.ownShare.choose(req, limit);
    if (chosen.isErr()) {
      return chosen.error.reason === 'deadline-unreachable' ? undefined : err(chosen.error);
    }
    this.counters.fromOwnShare += 1;
    return ok(this.#use(id, req, chosen.value, Infinity));
  }

  #use(id: string, req: GrantRequest, target: { address: string; vm: string }, expiresAt: number): Grant {
    const { job, pool, team } = req;
    const startedAt = this.parts.timers.mono();
    const used: GrantInUse = { expiresAt, id, job, pool, startedAt, team, vm: target.vm };
    this.parts.inUse.add(used);
    return {
      address: target.address,
      release: (result) => {
        this.#release(used, result);
      },
      valid: () => this.parts.timers.mono() < used.expiresAt,
      vm: target.vm,
    };
  }

  #release(used: GrantInUse, result: GrantResult): void {
    if (!this.parts.inUse.remove(used)) {
      return;
    }
    const owner = this.parts.owners.ownerOf(used.pool);
    if (owner !== undefined && !this.parts.link.isSilent(owner)) {
      void this.parts.link.release(owner, { id: used.id, pool: used.pool, ...result });
    }
    if (result.ok) {
      this.parts.link.learn(owner, used.pool, used.job, result.runMs);
    }
    this.parts.ownShare.released(used.pool);
  }

  #message(id: string, req: GrantRequest): AcquireMessage {
    const leftMs = Math.max(0, req.deadlineAt - this.parts.timers.mono());
    return {
      bytes: req.bytes,
      excluded: [...req.excluded],
      id,
      job: req.job,
      leftMs,
      member: this.parts.entry,
      pool: req.pool,
      team: req.team,
      urgent: req.urgent,
      waitMs: Math.min(POLL_MS, leftMs),
    };
  }

  // A new owner learns what this entry uses before it is asked for more.
  async #introduce(owner: LiveEntry, pool: string): Promise<boolean> {
    if (this.#reportedTo.get(pool) === owner.name) {
      return true;
    }
    const told = await this.#report(owner, pool);
    if (told) {
      this.#reportedTo.set(pool, owner.name);
    }
    return told;
  }

  async #report(owner: LiveEntry, pool: string): Promise<boolean> {
    const grants = this.parts.inUse.reportOf(pool);
    const reported = await this.parts.link.report(owner, { grants, member: this.parts.entry, pool });
    if (reported.isErr()) {
      this.#unanswered(owner);
    }
    return reported.isOk();
  }

  #renewAll(): void {
    for (const pool of new Set([...this.parts.inUse.pools, ...this.#reportedTo.keys()])) {
      void this.#renew(pool);
    }
  }

  async #renew(pool: string): Promise<void> {
    const owner = this.parts.owners.ownerOf(pool);
    if (owner === undefined || this.parts.link.isSilent(owner) || !(await this.#introduce(owner, pool))) {
      return;
    }
    const ids = this.parts.inUse.reportOf(pool).map((grant) => grant.id);
    if (ids.length === 0) {
      return;
    }
    const renewed = await this.parts.link.renew(owner, { ids, pool });
    if (renewed.isErr()) {
      this.#unanswered(owner);
      return;
    }
    if (renewed.value.unknown.length > 0) {
      await this.#report(owner, pool);
    }
    this.parts.inUse.renewed(pool, renewed.value.leaseMs);
  }

  #unanswered(owner: LiveEntry): void {
    this.counters.ownerUnanswered += 1;
    this.parts.link.markSilent(owner);
  }
}
