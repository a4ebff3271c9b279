import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { ClaimHolder } from './claim-service';

/** Where the other entries reach this one. */
export interface SelfAddress {
  address: string;
  vm: string;
  zone: string;
}

/** Period at which the entry looks whether it is a member, in ms. */
const CHECK_PERIOD_MS = 500;

/**
 * Joins this process in the log under an incarnation above every earlier one of the same name, also when
 * the wall clock was set back, and joins again after it was removed.
 */
export class SelfMembership {
  #joining = new AbortController();
  #left = false;
  #proposed: number | undefined;
  #wasJoined = false;

  constructor(
    private readonly replica: FleetReplica,
    private readonly appender: BatchAppender,
    private readonly holder: ClaimHolder,
    private readonly self: SelfAddress,
    private readonly timers: TimerService,
  ) {}

  /** Whether the log lists this incarnation. */
  get joined(): boolean {
    return this.replica.state.members.get(this.holder.entry)?.incarnation === this.holder.incarnation;
  }

  /** Keeps this process a member until the signal aborts. */
  start(signal: AbortSignal): void {
    this.replica.subscribe(() => {
      this.check(signal);
    }, signal);
    this.timers.every(
      CHECK_PERIOD_MS,
      () => {
        this.check(signal);
      },
      signal,
    );
  }

  /** Proposes to join when the process is not a member and no proposal of this incarnation is under way. */
  check(signal: AbortSignal): void {
    if (!this.replica.caughtUp || this.joined || this.#left) {
      this.#wasJoined ||= this.joined;
      return;
    }
    const known = this.replica.state.members.get(this.holder.entry)?.incarnation ?? -1;
    // Others take the claims of a removed incarnation to have no living holder, so it isn't used again.
    if (known > this.holder.incarnation || this.#wasJoined) {
      this.#wasJoined = false;
      this.holder.incarnation = Math.max(known, this.holder.incarnation, this.timers.now()) + 1;
    }
    if (this.#proposed !== this.holder.incarnation) {
      this.#propose(signal);
    }
  }

  /** Leaves after the last request, so that no drain waits for this process any more. */
  leave(signal: AbortSignal): void {
    this.#left = true;
    this.#joining.abort();
    if (!this.joined) {
      return;
    }
    this.appender.append(
      {
        at: this.timers.now(),
        by: this.holder.entry,
        id: randomUUID(),
        incarnation: this.holder.incarnation,
        kind: 'member-gone',
        member: this.holder.entry,
        v: 1,
      },
      signal,
    );
  }

  #propose(signal: AbortSignal): void {
    this.#joining.abort();
    this.#joining = new AbortController();
    this.#proposed = this.holder.incarnation;
    this.appender.append(
      {
        ...this.self,
        at: this.timers.now(),
        by: this.holder.entry,
        id: randomUUID(),
        incarnation: this.holder.incarnation,
        kind: 'member-join',
        member: this.holder.entry,
        role: 'entry',
        v: 1,
      },
      AbortSignal.any([signal, this.#joining.signal]),
    );
  }
}
