/** Paths by which a node stores the records of its callers. */
export const WRITE_PATH = {
  /** The leader appends them together with its own. */
  leader: 'leader',
  /** The node appends them itself. */
  own: 'own',
} as const;

/** Path by which a node stores the records of its callers. */
export type WritePathName = (typeof WRITE_PATH)[keyof typeof WRITE_PATH];

/** Outcome of an append of the node itself. */
export type OwnAppendOutcome = 'done' | 'in-flight' | 'lost' | 'refused';

/** What decided a change of the path. Times are in ms. */
export interface PathChange {
  /** Appends in a row that were fast on the leader, by its last answer; undefined before one. */
  fastAppends: number | undefined;
  /** Why the leader can't be used; undefined if it can. */
  leaderFailure: string | undefined;
  /** Duration of the node's last own append; undefined before the first. */
  ownAppendMs: number | undefined;
  ownAppendOutcome: OwnAppendOutcome | undefined;
  /** New path. */
  path: WritePathName;
}

/** Duration of an append in ms above which the store counts as slow. */
export const SLOW_APPEND_MS = 100;

/** Duration of an append in ms below which the store counts as fast again. */
export const FAST_APPEND_MS = 50;

/** Number of fast appends in a row after which nodes append for themselves again. */
const MIN_FAST_APPENDS = 3;

/** Shortest time on a path, in ms, unless the leader fails. */
const MIN_PATH_MS = 1000;

/** Time after a failed call in which the leader is not called again, in ms. */
const LEADER_PAUSE_MS = 1000;

/**
 * Chooses between the node's own appends and the leader. Load addressed: the store takes one append at a time
 * and each takes 50 to 100 times as long as usual, so that the appends of dozens of nodes exceed what it takes.
 * The leader then combines the records of all nodes in one append.
 */
export class WritePath {
  #changedAt = -Infinity;
  #current: WritePathName = WRITE_PATH.own;
  #fastAppends: number | undefined;
  #leaderFailedAt = -Infinity;
  #ownAppend: { durationMs: number; outcome: OwnAppendOutcome } | undefined;

  /** Path in use. */
  get current(): WritePathName {
    return this.#current;
  }

  /** Whether the node's last own append was slow, had no answer or was refused. */
  get isStoreSlow(): boolean {
    const append = this.#ownAppend;
    return append !== undefined && (append.outcome !== 'done' || append.durationMs > SLOW_APPEND_MS);
  }

  /** Notes an own append that has ended, or that has been in flight for `durationMs`, which is above the limit. */
  onOwnAppend(outcome: OwnAppendOutcome, durationMs: number): void {
    this.#ownAppend = { durationMs, outcome };
  }

  /** Notes an answer of the leader that took the records; returns the change of the path, if any. */
  onLeaderAnswer(fastAppends: number, now: number): PathChange | undefined {
    this.#fastAppends = fastAppends;
    const isFast = fastAppends >= MIN_FAST_APPENDS && now - this.#changedAt >= MIN_PATH_MS;
    if (this.#current === WRITE_PATH.own || !isFast) {
      return undefined;
    }
    const change = this.#change(WRITE_PATH.own, undefined, now);
    // The last own append is from the time in which the store was slow.
    this.#ownAppend = undefined;
    return change;
  }

  /** Notes that a call to the leader failed, or that the leader is lost; returns the change of the path, if any. */
  onLeaderFailure(failure: string, now: number): PathChange | undefined {
    this.#leaderFailedAt = now;
    return this.#current === WRITE_PATH.own ? undefined : this.#change(WRITE_PATH.own, failure, now);
  }

  /**
   * Chooses the path for the next records and returns the change, if any. `canUseLeader` says whether a leader
   * with an address is known that has not missed its heartbeats.
   */
  choose(canUseLeader: boolean, now: number): PathChange | undefined {
    if (this.#current === WRITE_PATH.leader) {
      return canUseLeader ? undefined : this.#change(WRITE_PATH.own, 'no leader', now);
    }
    const isDamped = now - this.#changedAt < MIN_PATH_MS || now - this.#leaderFailedAt < LEADER_PAUSE_MS;
    return this.isStoreSlow && canUseLeader && !isDamped
      ? this.#change(WRITE_PATH.leader, undefined, now)
      : undefined;
  }

  #change(path: WritePathName, leaderFailure: string | undefined, now: number): PathChange {
    this.#changedAt = now;
    this.#current = path;
    return {
      fastAppends: this.#fastAppends,
      leaderFailure,
      ownAppendMs: this.#ownAppend?.durationMs,
      ownAppendOutcome: this.#ownAppend?.outcome,
      path,
    };
  }
}
