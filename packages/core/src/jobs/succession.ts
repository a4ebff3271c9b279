import type { LeaderRecord, LeaderRequestRecord } from './job-record';

/** Settings of the succession of leaders. Times are in ms. */
export interface SuccessionSettings {
  /** Fitness of this node as leader. */
  fitness: number;
  /** Shortest time between two hand-overs. */
  handoverIntervalMs: number;
  /** Time for which other nodes leave a released leadership to the successor that the leader named. */
  holdBackMs: number;
  /** Longest random delay before this node requests the leadership. */
  maxRequestDelayMs: number;
  /** Longest delay before a node takes over of which a much fitter one is known. */
  maxUnfitDelayMs: number;
  /** Time for which this node must have read the stream of jobs without failure before it requests. */
  minReachableMs: number;
  /** Age of a term below which nobody requests the leadership. */
  minTermMs: number;
  /** Name of this node. */
  node: string;
  /** Time without requests after this node lost the leadership without having released it. */
  quietAfterLossMs: number;
  /** Shortest time between two requests of any nodes. */
  requestIntervalMs: number;
}

interface KnownLeader {
  epoch: number;
  /** Undefined for a node of a version that does not state it. */
  fitness: number | undefined;
  isReleased: boolean;
  node: string;
  /** Monotonic time at which this node read of the term, in ms. */
  since: number;
}

/** A node requests the leadership only if it is at least this many times as fit as the leader. */
const MIN_FITNESS_RATIO = 2;

/**
 * Decides when a node takes over, requests or hands over the leadership by the fitness of the nodes. Between
 * nodes of equal fitness it changes nothing. Safety never depends on these decisions.
 */
export class Succession {
  #fittest: number;
  #handedOverAt = -Infinity;
  #leader: KnownLeader | undefined;
  #quietUntil = -Infinity;
  #requestDueAt: number | undefined;
  #requestedAt = -Infinity;
  #successor: string | undefined;

  constructor(private readonly settings: SuccessionSettings) {
    this.#fittest = settings.fitness;
  }

  /** Delay in ms, beyond the usual one, before this node may take over; 0 unless a fitter node may. */
  get extraDelayMs(): number {
    const { fitness, holdBackMs, maxUnfitDelayMs } = this.settings;
    if (this.isSuccessor) {
      return 0;
    }
    const unfitMs = fitness < this.#fittest ? maxUnfitDelayMs * (1 - fitness / this.#fittest) : 0;
    return unfitMs + (this.#successor === undefined ? 0 : holdBackMs);
  }

  /** Whether the leader has released its leadership to this node. */
  get isSuccessor(): boolean {
    return this.#successor === this.settings.node;
  }

  /** Returns whether this node, as the leader of the term `ownEpoch`, hands over to the node that requests it. */
  accepts(request: LeaderRequestRecord, ownEpoch: number, now: number): boolean {
    const leader = this.#leader;
    return (
      leader?.epoch === ownEpoch &&
      request.epoch === ownEpoch &&
      request.node !== this.settings.node &&
      isMuchFitter(request.fitness, this.settings.fitness) &&
      // The nodes read of the term at slightly different times, so the leader is less strict than a follower.
      now - leader.since >= this.settings.minTermMs / 2
    );
  }

  /** Handles a heartbeat of the leader of the latest term, or its release of leadership. */
  onHeartbeat(record: LeaderRecord, now: number): void {
    const { epoch, fitness, node, released } = record;
    this.#fittest = Math.max(this.#fittest, fitness ?? 0);
    const since = this.#leader?.epoch === epoch ? this.#leader.since : now;
    this.#leader = { epoch, fitness, isReleased: released, node, since };
    this.#successor = released ? record.successor : undefined;
    if (this.#successor !== undefined) {
      this.#handedOverAt = now;
    }
  }

  /** Handles a request for the leadership by any node, this one included. */
  onRequest(request: LeaderRequestRecord, now: number): void {
    this.#fittest = Math.max(this.#fittest, request.fitness);
    this.#requestedAt = now;
  }

  /** Notes that this node lost the leadership without having released it. */
  onTermLost(now: number): void {
    this.#quietUntil = now + this.settings.quietAfterLossMs;
  }

  /**
   * Returns the request for the leadership that this node makes now, if any. `reachableSince` is the time
   * since which it has read the stream of jobs without failure; `random` is from 0 to below 1.
   */
  takeRequest(
    now: number,
    reachableSince: number | undefined,
    random: number,
  ): LeaderRequestRecord | undefined {
    const leader = this.#leader;
    if (leader === undefined || !this.#mayRequest(leader, now, reachableSince)) {
      this.#requestDueAt = undefined;
      return undefined;
    }
    this.#requestDueAt ??= now + random * this.settings.maxRequestDelayMs;
    if (now < this.#requestDueAt) {
      return undefined;
    }
    this.#requestDueAt = undefined;
    this.#requestedAt = now;
    const { fitness, node } = this.settings;
    return { epoch: leader.epoch, fitness, kind: 'leader-request', node };
  }

  #mayRequest(leader: KnownLeader, now: number, reachableSince: number | undefined): boolean {
    const { fitness, handoverIntervalMs, minReachableMs, minTermMs, node, requestIntervalMs } = this.settings;
    return (
      leader.node !== node &&
      !leader.isReleased &&
      leader.fitness !== undefined &&
      isMuchFitter(fitness, leader.fitness) &&
      reachableSince !== undefined &&
      now - reachableSince >= minReachableMs &&
      now - leader.since >= minTermMs &&
      now - this.#requestedAt >= requestIntervalMs &&
      now - this.#handedOverAt >= handoverIntervalMs &&
      now >= this.#quietUntil
    );
  }
}

function isMuchFitter(fitness: number, other: number): boolean {
  return fitness > other && fitness >= MIN_FITNESS_RATIO * other;
}
