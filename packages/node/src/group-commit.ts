import type { OwnAppendOutcome, PathChange } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { WRITE_PATH, WritePath } from '@sequoiaquay/core/jobs';
import { err } from 'neverthrow';
import type { NodeMetrics } from './node-metrics';
import type { LeaderCallError, LeaderLink, LeaderTarget, PeerRecord, StoreAnswer } from './ports/leader-link';
import { MAX_APPEND_BYTES } from './append-limits';
import { LEADER_FAILURE } from './ports/leader-link';

/** What group commit needs of its node. */
export interface GroupCommitContext {
  /** Writes a heartbeat now; does nothing while this node doesn't lead. */
  beat: () => void;
  /** Returns whether this node leads. */
  isLeader: () => boolean;
  /** Returns the leader to call; undefined if this node leads, or none is known that has not missed heartbeats. */
  leader: () => LeaderTarget | undefined;
  link: LeaderLink;
  /** Capacity of the machine's link, in bytes a second; undefined if not known. */
  linkBytesPerS: number | undefined;
  log: Logger;
  metrics: NodeMetrics;
  /** Called when the leader of a term has answered that it leads. */
  onLeads: (epoch: number) => void;
  timers: TimerService;
}

/** Most calls of a node in progress: a call lasts for up to two appends of the leader. */
const MAX_CALLS = 4;

/** Time in which the link of the machine carries the largest append, in ms. */
const MAX_SEND_MS = 100;

/** Most bytes of an append, whatever the capacity of the link. */
const MAX_GROUP_BYTES = 262_144;

/**
 * Least timeout of an append of the leader while the store is slow, in ms. The store queues appends for up to
 * 2 s; an append that is given up sooner keeps its place, and its repeat makes the queue longer.
 */
const SLOW_APPEND_TIMEOUT_MS = 2900;

/** Delay before the leader repeats a failed append while the store is slow, in ms: others wait for room too. */
const SLOW_RETRY_DELAY_MS = 20;

/** Least interval between heartbeats beside the regular ones, in ms. */
const MIN_BEAT_INTERVAL_MS = 200;

const MS_PER_SECOND = 1000;

/** Sends the records of callers to the leader while the node's own appends are slow. */
export class GroupCommit {
  #beatAt = -Infinity;
  #callCount = 0;
  readonly #path = new WritePath();

  constructor(private readonly ctx: GroupCommitContext) {}

  /** Whether the node's last own append was slow, had no answer or was refused. */
  get isStoreSlow(): boolean {
    return this.#path.isStoreSlow;
  }

  /** Whether another call to the leader may be made. */
  get hasFreeCall(): boolean {
    return this.#callCount < MAX_CALLS;
  }

  /** Most bytes of keys and values in one append of this node. */
  get maxAppendBytes(): number {
    const { linkBytesPerS } = this.ctx;
    if (!this.isStoreSlow || linkBytesPerS === undefined) {
      return MAX_APPEND_BYTES;
    }
    const carriedBytes = (linkBytesPerS * MAX_SEND_MS) / MS_PER_SECOND;
    return Math.max(MAX_APPEND_BYTES, Math.min(MAX_GROUP_BYTES, carriedBytes));
  }

  /**
   * Writes a heartbeat if this node leads and the store is slow: an append that waits in the store for seconds
   * must not hold back a heartbeat without containing a recent one.
   */
  beatIfSlow(): void {
    const now = this.ctx.timers.mono();
    if (this.isStoreSlow && now - this.#beatAt >= MIN_BEAT_INTERVAL_MS) {
      this.#beatAt = now;
      this.ctx.beat();
    }
  }

  /** Returns the delay before a failed own append is repeated in ms, given the usual one. */
  retryDelayMs(usualMs: number): number {
    return this.isStoreSlow && this.ctx.isLeader() ? SLOW_RETRY_DELAY_MS : usualMs;
  }

  /** Returns the timeout of an own append in ms, given the usual one. */
  appendTimeoutMs(usualMs: number): number {
    return this.isStoreSlow && this.ctx.isLeader() ? Math.max(usualMs, SLOW_APPEND_TIMEOUT_MS) : usualMs;
  }

  /** Chooses the path for the next records; returns whether it is the leader's. */
  usesLeader(): boolean {
    this.#logChange(this.#path.choose(this.ctx.leader() !== undefined, this.ctx.timers.mono()));
    return this.#path.current === WRITE_PATH.leader;
  }

  /** Notes an own append that has ended, or is in flight for longer than a fast one. The duration is in ms. */
  onOwnAppend(outcome: OwnAppendOutcome, durationMs: number): void {
    this.#path.onOwnAppend(outcome, durationMs);
  }

  /** Counts a record by the outcome that its writer got. */
  countRecord(path: keyof typeof WRITE_PATH, outcome: string): void {
    this.ctx.metrics.recordWrite(path, outcome);
  }

  /** Asks the leader to store records, with a limit in ms. */
  async forward(
    records: readonly PeerRecord[],
    limitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreAnswer, LeaderCallError>> {
    const target = this.ctx.leader();
    if (target === undefined) {
      return err({ kind: LEADER_FAILURE.notLeading, message: 'no leader' });
    }
    const { link, metrics, timers } = this.ctx;
    this.#callCount += 1;
    const startedAt = timers.mono();
    const answer = await link.store({ limitMs, records, signal, target });
    this.#callCount -= 1;
    const now = timers.mono();
    metrics.recordForward(answer.isOk() ? 'answered' : answer.error.kind, now - startedAt);
    if (answer.isOk()) {
      this.ctx.onLeads(target.epoch);
      this.#logChange(this.#path.onLeaderAnswer(answer.value.fastAppends, now));
    } else if (answer.error.kind !== LEADER_FAILURE.busy) {
      this.#logChange(this.#path.onLeaderFailure(answer.error.message, now));
    }
    return answer;
  }

  #logChange(change: PathChange | undefined): void {
    if (change !== undefined) {
      this.ctx.log.info({ ...change }, 'write path changed');
    }
  }
}
