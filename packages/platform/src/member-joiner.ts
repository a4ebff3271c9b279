import type { FleetRecordOf } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { BatchAppender } from './batch-appender';
import type { FleetReplica } from './fleet-replica';

/** Identity of a member; `incarnation` increases each time the member has to rejoin. */
export interface MemberIdentity {
  readonly address: string;
  incarnation: number;
  readonly member: string;
  readonly role: 'control' | 'entry';
  readonly vm: string;
  readonly zone: string;
}

/** Interval at which a process checks whether it is a member, in ms. */
const CHECK_INTERVAL_MS = 500;

/**
 * Registers this process as a member in the log, with an incarnation above every earlier one of the same name
 * even if the wall clock was set back. Rejoins after the member was removed, because drains wait only for
 * registered members and must wait for every process that serves requests.
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

  /** Whether the log lists a newer incarnation of the same name; this one must then not accept work. */
  get isSuperseded(): boolean {
    return (
      (this.replica.state.members.get(this.identity.member)?.incarnation ?? -1) > this.identity.incarnation
    );
  }

  /** Whether the log lists this incarnation. */
  get isJoined(): boolean {
    return this.replica.state.members.get(this.identity.member)?.incarnation === this.identity.incarnation;
  }

  /** Keeps this process registered as a member until the signal aborts. */
  start(signal: AbortSignal): void {
    this.replica.watch(
      CHECK_INTERVAL_MS,
      () => {
        this.joinIfNeeded(signal);
      },
      signal,
    );
  }

  /** Proposes to join if the process is not a member and this incarnation has not been proposed yet. */
  joinIfNeeded(signal: AbortSignal): void {
    if (!this.replica.caughtUp || this.isJoined || this.#hasLeft) {
      this.#wasJoined ||= this.isJoined;
      return;
    }
    const listed = this.replica.state.members.get(this.identity.member)?.incarnation ?? -1;
    // Another process has replaced this one; rejoining would make the two replace each other repeatedly.
    if (this.#wasJoined && listed > this.identity.incarnation) {
      return;
    }
    // Other processes assume that the claims of a removed incarnation have no live holder, so a removed
    // incarnation must not be used again.
    if (listed > this.identity.incarnation || this.#wasJoined) {
      this.#wasJoined = false;
      this.identity.incarnation = Math.max(listed, this.identity.incarnation, this.timers.now()) + 1;
    }
    if (this.#proposedIncarnation !== this.identity.incarnation) {
      this.#propose(signal);
    }
  }

  /** Deregisters the member after its last request, so that drains stop waiting for this process. */
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
