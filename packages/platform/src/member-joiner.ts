import type { FleetRecordOf } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { BatchAppender } from './batch-appender';
import type { FleetReplica } from './fleet-replica';

/** Identity of a member; `incarnation` rises when the member has to join again. */
export interface MemberIdentity {
  readonly address: string;
  incarnation: number;
  readonly member: string;
  readonly role: 'control' | 'entry';
  readonly vm: string;
  readonly zone: string;
}

/** Period at which a process looks whether it is a member, in ms. */
const CHECK_PERIOD_MS = 500;

/**
 * Joins a process in the log under an incarnation above every earlier one of the same name, also when the
 * wall clock was set back, and joins again after it was removed: a member that serves must be waited for
 * by drains.
 */
export class MemberJoiner {
  #joining = new AbortController();
  #left = false;
  #proposed: number | undefined;
  #wasJoined = false;

  constructor(
    private readonly self: MemberIdentity,
    private readonly replica: FleetReplica,
    private readonly appender: BatchAppender,
    private readonly timers: TimerService,
  ) {}

  /** Whether the log lists a newer incarnation of the same name, so that this one must not take work. */
  get outdated(): boolean {
    return (this.replica.state.members.get(this.self.member)?.incarnation ?? -1) > this.self.incarnation;
  }

  /** Whether the log lists this incarnation. */
  get joined(): boolean {
    return this.replica.state.members.get(this.self.member)?.incarnation === this.self.incarnation;
  }

  /** Keeps this process a member until the signal aborts. */
  start(signal: AbortSignal): void {
    this.replica.watch(
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
    const known = this.replica.state.members.get(this.self.member)?.incarnation ?? -1;
    // Joining again would fight with the process that has taken this one's place.
    if (this.#wasJoined && known > this.self.incarnation) {
      return;
    }
    // Others take the claims of a removed incarnation to have no living holder, so it isn't used again.
    if (known > this.self.incarnation || this.#wasJoined) {
      this.#wasJoined = false;
      this.self.incarnation = Math.max(known, this.self.incarnation, this.timers.now()) + 1;
    }
    if (this.#proposed !== this.self.incarnation) {
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
    const record: FleetRecordOf<'member-gone'> = {
      at: this.timers.now(),
      by: this.self.member,
      id: randomUUID(),
      incarnation: this.self.incarnation,
      kind: 'member-gone',
      member: this.self.member,
      v: 1,
    };
    this.appender.append(record, signal);
  }

  #propose(signal: AbortSignal): void {
    this.#joining.abort();
    this.#joining = new AbortController();
    this.#proposed = this.self.incarnation;
    const record: FleetRecordOf<'member-join'> = {
      ...this.self,
      at: this.timers.now(),
      by: this.self.member,
      id: randomUUID(),
      kind: 'member-join',
      v: 1,
    };
    this.appender.append(record, AbortSignal.any([signal, this.#joining.signal]));
  }
}
