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
const CHECK_INTERVAL_MS = 500;

/**
 * Joins a process in the log under an incarnation above every earlier one of the same name, also when the
 * wall clock was set back, and joins again after it was removed: a member that serves must be waited for
 * by drains.
 */
export class MemberJoiner {
  #joinController = new AbortController();
  #hasLeft = false;
  #proposedIncarnation: number | undefined;
  #wasJoined = false;

  constructor(
    private readonly identity: MemberIdentity,
    private readonly replica: FleetReplica,
    private readonly appender: BatchAppender,
    private readonly timers: TimerService,
  ) {}

  /** Whether the log lists a newer incarnation of the same name, so that this one must not take work. */
  get isSuperseded(): boolean {
    return (this.replica.state.members.get(this.identity.member)?.incarnation ?? -1) > this.identity.incarnation;
  }

  /** Whether the log lists this incarnation. */
  get isJoined(): boolean {
    return this.replica.state.members.get(this.identity.member)?.incarnation === this.identity.incarnation;
  }

  /** Keeps this process a member until the signal aborts. */
  start(signal: AbortSignal): void {
    this.replica.watch(
      CHECK_INTERVAL_MS,
      () => {
        this.joinIfNeeded(signal);
      },
      signal,
    );
  }

  /** Proposes to join when the process is not a member and no proposal of this incarnation is under way. */
  joinIfNeeded(signal: AbortSignal): void {
    if (!this.replica.caughtUp || this.isJoined || this.#hasLeft) {
      this.#wasJoined ||= this.isJoined;
      return;
    }
    const known = this.replica.state.members.get(this.identity.member)?.incarnation ?? -1;
    // Joining again would fight with the process that has taken this one's place.
    if (this.#wasJoined && known > this.identity.incarnation) {
      return;
    }
    // Others take the claims of a removed incarnation to have no living holder, so it isn't used again.
    if (known > this.identity.incarnation || this.#wasJoined) {
      this.#wasJoined = false;
      this.identity.incarnation = Math.max(known, this.identity.incarnation, this.timers.now()) + 1;
    }
    if (this.#proposedIncarnation !== this.identity.incarnation) {
      this.#propose(signal);
    }
  }

  /** Leaves after the last request, so that no drain waits for this process any more. */
  leave(signal: AbortSignal): void {
    this.#hasLeft = true;
    this.#joinController.abort();
    if (!this.isJoined) {
      return;
    }
    const record: FleetRecordOf<'member-gone'> = {
      at: this.timers.now(),
      by: this.identity.member,
      id: randomUUID(),
      incarnation: this.identity.incarnation,
      kind: 'member-gone',
      member: this.identity.member,
      v: 1,
    };
    this.appender.append(record, signal);
  }

  #propose(signal: AbortSignal): void {
    this.#joinController.abort();
    this.#joinController = new AbortController();
    this.#proposedIncarnation = this.identity.incarnation;
    const record: FleetRecordOf<'member-join'> = {
      ...this.identity,
      at: this.timers.now(),
      by: this.identity.member,
      id: randomUUID(),
      kind: 'member-join',
      v: 1,
    };
    this.appender.append(record, AbortSignal.any([signal, this.#joinController.signal]));
  }
}
