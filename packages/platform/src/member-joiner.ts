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

/** Period at which the own membership is looked at without a new record, in ms. */
const CHECK_PERIOD_MS = 500;

/**
 * Joins a process to the fleet, and again when the log took it to be gone while it runs: a member that
 * serves must be waited for by drains. The incarnation rises above a known one when the wall clock was set
 * back between two lives of the process.
 */
export class MemberJoiner {
  #everJoined = false;
  #joined = false;
  #left = false;

  constructor(
    private readonly self: MemberIdentity,
    private readonly replica: FleetReplica,
    private readonly appender: BatchAppender,
    private readonly timers: TimerService,
  ) {}

  /** Whether the log lists a newer incarnation of the same name, so that this one must not take work. */
  get outdated(): boolean {
    return (this.#known() ?? -1) > this.self.incarnation;
  }

  /** Joins, and watches the own membership until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#join(signal);
    this.replica.subscribe(() => {
      this.#check(signal);
    }, signal);
    this.timers.every(
      CHECK_PERIOD_MS,
      () => {
        this.#check(signal);
      },
      signal,
    );
  }

  /** Leaves after the last request, so that no drain waits for this process any more. */
  leave(signal: AbortSignal): void {
    this.#left = true;
    if (this.#known() !== this.self.incarnation) {
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

  #known(): number | undefined {
    return this.replica.state.members.get(this.self.member)?.incarnation;
  }

  #check(signal: AbortSignal): void {
    const known = this.#known();
    this.#joined ||= known === this.self.incarnation;
    this.#everJoined ||= this.#joined;
    const removed = this.#joined && known === undefined;
    const setBack = !this.#everJoined && known !== undefined && known > this.self.incarnation;
    if (!this.#left && (removed || setBack)) {
      this.#joined = false;
      this.self.incarnation = Math.max(this.self.incarnation + 1, (known ?? 0) + 1, this.timers.now());
      this.#join(signal);
    }
  }

  #join(signal: AbortSignal): void {
    const record: FleetRecordOf<'member-join'> = {
      ...this.self,
      at: this.timers.now(),
      by: this.self.member,
      id: randomUUID(),
      kind: 'member-join',
      v: 1,
    };
    this.appender.append(record, signal);
  }
}
