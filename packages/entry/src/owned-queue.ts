import type { DispatchResult, PoolGrant, QueueRefusal } from '@sequoiaquay/core';
import type { PoolQueue } from '@sequoiaquay/core';
import type { InFlight } from './in-flight';
import type { AcquireAnswer, AcquireMessage, ReleaseMessage, ReportMessage } from './queue-messages';
import type { UsableTarget } from './target-health';

/** Maximum time between two polls of a member before its request or grant is dropped, in ms. */
const MAX_POLL_GAP_MS = 2000;

const NOT_OWNER = { kind: 'not-owner' } as const;

interface PendingAcquire {
  answer: AcquireAnswer | undefined;
  notify: (() => void) | undefined;
  polledAt: number;
}

/** Settings of an owned queue. Times in ms. */
export interface OwnedQueueSettings {
  /** Time until which a new owner grants nothing unless all other members have reported. */
  holdUntil: number;
  leaseMs: number;
}

/** Queue of a pool that this entry owns, with the pending requests of the members. Times in ms. */
export class OwnedQueue {
  #addresses = new Map<string, string>();
  readonly #pending = new Map<string, PendingAcquire>();
  readonly #reportedMembers = new Set<string>();

  constructor(
    private readonly queue: PoolQueue,
    private readonly inFlight: InFlight,
    private readonly settings: OwnedQueueSettings,
  ) {}

  /** Number of waiting requests. */
  get queuedCount(): number {
    return this.queue.queued;
  }

  /** Sets the usable targets and the number of slots reserved for short requests. */
  setTargets(targets: readonly UsableTarget[], reservedSlots: number): void {
    this.#addresses = new Map(targets.map((target) => [target.vm, target.address]));
    this.queue.setTargets(targets, reservedSlots);
  }

  /** Drops expired grants and abandoned requests, then grants free slots. */
  expireAndDispatch(now: number, otherMembers: () => readonly string[]): void {
    for (const grant of this.queue.updateGrants(now)) {
      this.inFlight.endGrant(grant.vm);
    }
    for (const [id, pending] of this.#pending) {
      if (pending.notify === undefined && now - pending.polledAt > MAX_POLL_GAP_MS) {
        this.#releaseAbandoned(id, now);
      }
    }
    this.dispatch(now, otherMembers);
  }

  /** Grants free slots; a new owner waits until the other members have reported their grants in use. */
  dispatch(now: number, otherMembers: () => readonly string[]): void {
    if (
      now < this.settings.holdUntil &&
      !otherMembers().every((member) => this.#reportedMembers.has(member))
    ) {
      return;
    }
    this.#applyDispatchResult(this.queue.dispatch(now));
  }

  /** Enqueues a member's request or renews its wait; returns undefined while it has no answer. */
  poll(req: AcquireMessage, now: number): AcquireAnswer | undefined {
    const pending = this.#pending.get(req.id);
    if (pending !== undefined) {
      pending.polledAt = now;
      return pending.answer;
    }
    const enqueued = this.queue.offer(
      { ...req, deadlineAt: now + req.leftMs, excluded: new Set(req.excluded) },
      now,
    );
    if (enqueued.isErr()) {
      return toRefusal(enqueued.error);
    }
    this.#pending.set(req.id, { answer: undefined, polledAt: now, notify: undefined });
    return undefined;
  }

  /** Waits until a request has an answer or the signal aborts. */
  wait(id: string, signal: AbortSignal): Promise<AcquireAnswer | undefined> {
    const pending = this.#pending.get(id);
    if (pending === undefined || pending.answer !== undefined || signal.aborted) {
      return Promise.resolve(pending?.answer);
    }
    return new Promise((resolve) => {
      const notify = (): void => {
        signal.removeEventListener('abort', notify);
        pending.notify = undefined;
        resolve(pending.answer);
      };
      pending.notify = notify;
      signal.addEventListener('abort', notify, { once: true });
    });
  }

  /** Removes an answered request; its grant stays valid. */
  removeAnswered(id: string): void {
    this.#pending.delete(id);
  }

  /** Cancels a waiting request or releases its grant; returns the released grant. */
  release(msg: ReleaseMessage, now: number): PoolGrant | undefined {
    this.#pending.delete(msg.id);
    if (this.queue.cancel(msg.id, now)) {
      return undefined;
    }
    const grant = this.queue.release(msg.id, msg.ok === true ? msg.runMs : undefined);
    if (grant !== undefined) {
      this.inFlight.endGrant(grant.vm);
    }
    return grant;
  }

  /** Renews the leases of grants; returns the unknown ids. */
  renew(ids: readonly string[], now: number): string[] {
    return ids.filter((id) => !this.queue.renew(id, now));
  }

  /** Records the grants in use that a member reports. */
  report(msg: ReportMessage, now: number): void {
    this.#reportedMembers.add(msg.member);
    for (const grant of this.queue.adopt(msg.member, msg.grants, now)) {
      this.inFlight.beginGrant(grant.vm);
    }
  }

  /** Answers all waiting requests with `not-owner`. */
  close(now: number): void {
    for (const [id, pending] of this.#pending) {
      if (pending.answer === undefined) {
        this.queue.cancel(id, now);
        pending.answer = NOT_OWNER;
        pending.notify?.();
      }
    }
  }

  #applyDispatchResult(result: DispatchResult): void {
    for (const grant of result.granted) {
      this.inFlight.beginGrant(grant.vm);
      const address = this.#addresses.get(grant.vm) ?? '';
      this.#setAnswer(grant.id, { address, kind: 'granted', leaseMs: this.settings.leaseMs, vm: grant.vm });
    }
    for (const { id } of result.expired) {
      const detail = 'no slot became free in time';
      this.#setAnswer(id, toRefusal({ detail, reason: 'deadline-unreachable', waitMs: 1000 }));
    }
  }

  #setAnswer(id: string, answer: AcquireAnswer): void {
    const pending = this.#pending.get(id);
    if (pending !== undefined) {
      pending.answer = answer;
      pending.notify?.();
    }
  }

  #releaseAbandoned(id: string, now: number): void {
    this.release({ id, pool: '' }, now);
  }
}

function toRefusal({ detail, reason, waitMs }: QueueRefusal): AcquireAnswer {
  return { detail, kind: 'refused', reason, waitMs };
}
