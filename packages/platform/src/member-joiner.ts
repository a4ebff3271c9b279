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

/**
 * Joins a process to the fleet, and again when the log took it to be gone while it runs: a member that
 * serves must be waited for by drains.
 */
export class MemberJoiner {
  #joined = false;

  constructor(
    private readonly self: MemberIdentity,
    private readonly replica: FleetReplica,
    private readonly appender: BatchAppender,
    private readonly timers: TimerService,
  ) {}

  /** Joins, and watches the own membership until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#join(signal);
    this.replica.subscribe(() => {
      this.#check(signal);
    }, signal);
  }

  #check(signal: AbortSignal): void {
    const known = this.replica.state.members.get(this.self.member);
    this.#joined ||= known?.incarnation === this.self.incarnation;
    if (this.#joined && known === undefined) {
      this.#joined = false;
      this.self.incarnation = Math.max(this.self.incarnation + 1, this.timers.now());
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
