import type { DispatchResult, PoolGrant, QueueRefusal } from '@sequoiaquay/core';
import type { PoolQueue } from '@sequoiaquay/core';
import type { InFlight } from './in-flight';
import type { AcquireAnswer, AcquireMessage, ReleaseMessage, ReportMessage } from './queue-messages';
import type { UsableTarget } from './target-health';

/** Time for which a place or grant is held between two polls of its member, in ms. */
const POLL_GAP_MS = 2000;

const NOT_OWNER = { kind: 'not-owner' } as const;

interface Place {
  answer: AcquireAnswer | undefined;
  polledAt: number;
  wake: (() => void) | undefined;
}

/** Settings of an owned queue. Times in ms. */
export interface OwnedQueueSettings {
  /** Time before which a new owner grants nothing, unless all other members have reported. */
  holdUntil: number;
  leaseMs: number;
}

/** Queue of a pool that this entry owns, with the members that wait in it. Times in ms. */
export class OwnedQueue {
  #addresses = new Map<string, string>();
  readonly #places = new Map<string, Place>();
  readonly #reported = new Set<string>();

  constructor(
    private readonly queue: PoolQueue,
    private readonly inFlight: InFlight,
    private readonly settings: OwnedQueueSettings,
  ) {}

  /** Number of requests that wait. */
  get queued(): number {
    return this.queue.queued;
  }

  /** Takes over the current targets. */
  refresh(targets: readonly UsableTarget[], keptShortSlots: number): void {
    this.#addresses = new Map(targets.map((target) => [target.vm, target.address]));
    this.queue.setTargets(targets, keptShortSlots);
  }

  /** Takes back what has expired, then grants free slots. */
  tick(now: number, others: () => readonly string[]): void {
    for (const grant of this.queue.updateGrants(now)) {
      this.inFlight.endGrant(grant.vm);
    }
    for (const [id, place] of this.#places) {
      if (place.wake === undefined && now - place.polledAt > POLL_GAP_MS) {
        this.#drop(id, now);
      }
    }
    this.pump(now, others);
  }

  /** Grants free slots; a new owner waits until the others have reported what they use. */
  pump(now: number, others: () => readonly string[]): void {
    if (now < this.settings.holdUntil && !others().every((member) => this.#reported.has(member))) {
      return;
    }
    this.#apply(this.queue.dispatch(now));
  }

  /** Begins or continues the wait of a member's request; undefined when it has no answer yet. */
  poll(req: AcquireMessage, now: number): AcquireAnswer | undefined {
    const known = this.#places.get(req.id);
    if (known !== undefined) {
      known.polledAt = now;
      return known.answer;
    }
    const offered = this.queue.offer(
      { ...req, deadlineAt: now + req.leftMs, excluded: new Set(req.excluded) },
      now,
    );
    if (offered.isErr()) {
      return refused(offered.error);
    }
    this.#places.set(req.id, { answer: undefined, polledAt: now, wake: undefined });
    return undefined;
  }

  /** Waits until a request has an answer or the signal aborts. */
  wait(id: string, signal: AbortSignal): Promise<AcquireAnswer | undefined> {
    const place = this.#places.get(id);
    if (place === undefined || place.answer !== undefined || signal.aborted) {
      return Promise.resolve(place?.answer);
    }
    return new Promise((resolve) => {
      const wake = (): void => {
        signal.removeEventListener('abort', wake);
        place.wake = undefined;
        resolve(place.answer);
      };
      place.wake = wake;
      signal.addEventListener('abort', wake, { once: true });
    });
  }

  /** Forgets a request that has its answer; its grant goes on. */
  answered(id: string): void {
    this.#places.delete(id);
  }

  /** Frees the place or the grant of a request; returns the grant that it had. */
  release(msg: ReleaseMessage, now: number): PoolGrant | undefined {
    this.#places.delete(msg.id);
    if (this.queue.cancel(msg.id, now)) {
      return undefined;
    }
    const grant = this.queue.release(msg.id, msg.ok === true ? msg.runMs : undefined);
    if (grant !== undefined) {
      this.inFlight.endGrant(grant.vm);
    }
    return grant;
  }

  /** Extends grants; returns the ids that are not known. */
  renew(ids: readonly string[], now: number): string[] {
    return ids.filter((id) => !this.queue.renew(id, now));
  }

  /** Takes over the grants that a member uses. */
  report(msg: ReportMessage, now: number): void {
    this.#reported.add(msg.member);
    for (const grant of this.queue.adopt(msg.member, msg.grants, now)) {
      this.inFlight.beginGrant(grant.vm);
    }
  }

  /** Sends every waiting member away. */
  close(now: number): void {
    for (const [id, place] of this.#places) {
      if (place.answer === undefined) {
        this.queue.cancel(id, now);
        place.answer = NOT_OWNER;
        place.wake?.();
      }
    }
  }

  #apply(effects: DispatchResult): void {
    for (const grant of effects.granted) {
      this.inFlight.beginGrant(grant.vm);
      const address = this.#addresses.get(grant.vm) ?? '';
      this.#answer(grant.id, { address, kind: 'granted', leaseMs: this.settings.leaseMs, vm: grant.vm });
    }
    for (const { id } of effects.expired) {
      const detail = 'no slot became free in time';
      this.#answer(id, refused({ detail, reason: 'deadline-unreachable', waitMs: 1000 }));
    }
  }

  #answer(id: string, answer: AcquireAnswer): void {
    const place = this.#places.get(id);
    if (place !== undefined) {
      place.answer = answer;
      place.wake?.();
    }
  }

  #drop(id: string, now: number): void {
    this.release({ id, pool: '' }, now);
  }
}

function refused({ detail, reason, waitMs }: QueueRefusal): AcquireAnswer {
  return { detail, kind: 'refused', reason, waitMs };
}
