import type { FairShares } from './fair-shares';
import type { QueueNode } from './linked-queue';
import type { QueueRequest, WorkClass } from './queue-request';
import { LinkedQueue } from './linked-queue';

/** Request in a lane, with the state that the queue keeps about it. */
export interface QueuedRequest {
  /** Arrival time, in ms. */
  arrivedAt: number;
  class: WorkClass;
  /** Expected run time, in ms. */
  expectedMs: number;
  /** Node in the team's queue; undefined before the request is added to a lane. */
  node: QueueNode<QueuedRequest> | undefined;
  req: QueueRequest;
  /** Sequence number, in order of arrival. */
  sequence: number;
}

/** Decision on a queued request: grant it, skip it, or drop it from the lane. */
export type LaneDecision = 'drop' | 'grant' | 'skip';

// Requests that cannot start now, for example because of excluded VMs, are skipped. The search in a team's
// queue stops after this number of them, because a longer search costs more than it gains.
const MAX_SKIPPED_REQUESTS = 16;

/** Queued requests of one priority level, in a first-in, first-out queue for each team. */
export class Lane {
  #size = 0;
  readonly #teams = new Map<string, LinkedQueue<QueuedRequest>>();
  #expectedWorkMs = 0;

  /** Number of requests. */
  get size(): number {
    return this.#size;
  }

  /** Sum of the expected run times of all requests, in ms. */
  get expectedWorkMs(): number {
    return this.#expectedWorkMs;
  }

  /** Arrival time of the oldest request, in ms; undefined when the lane is empty. */
  get oldestArrivalAt(): number | undefined {
    let oldest: number | undefined;
    for (const queue of this.#teams.values()) {
      const arrivedAt = queue.first?.arrivedAt;
      oldest = arrivedAt !== undefined && arrivedAt < (oldest ?? Infinity) ? arrivedAt : oldest;
    }
    return oldest;
  }

  /** Appends a request. */
  add(queued: QueuedRequest): void {
    const queue = this.#teams.get(queued.req.team) ?? new LinkedQueue();
    this.#teams.set(queued.req.team, queue);
    queued.node = queue.push(queued);
    this.#size += 1;
    this.#expectedWorkMs += queued.expectedMs;
  }

  /** Removes a request in constant time. */
  remove(queued: QueuedRequest): void {
    const queue = this.#teams.get(queued.req.team);
    if (queue === undefined || queued.node === undefined || !queue.remove(queued.node)) {
      return;
    }
    this.#size -= 1;
    this.#expectedWorkMs = this.#size === 0 ? 0 : this.#expectedWorkMs - queued.expectedMs;
    if (queue.size === 0) {
      this.#teams.delete(queued.req.team);
    }
  }

  /**
   * Returns the first request for which `decide` returns 'grant', in order of the teams' virtual start times.
   * The request stays queued. `decide` itself removes the requests that it drops.
   */
  pickNext(shares: FairShares, decide: (queued: QueuedRequest) => LaneDecision): QueuedRequest | undefined {
    const triedTeams = new Set<string>();
    for (let team = this.#nextTeam(shares, triedTeams); team !== undefined;) {
      const found = this.#pickFromTeam(team, decide);
      if (found !== undefined) {
        return found;
      }
      triedTeams.add(team);
      team = this.#nextTeam(shares, triedTeams);
    }
    return undefined;
  }

  #pickFromTeam(team: string, decide: (queued: QueuedRequest) => LaneDecision): QueuedRequest | undefined {
    let skipped = 0;
    for (const queued of this.#teams.get(team) ?? []) {
      const decision = decide(queued);
      if (decision === 'grant') {
        return queued;
      }
      skipped += decision === 'skip' ? 1 : 0;
      if (skipped >= MAX_SKIPPED_REQUESTS) {
        return undefined;
      }
    }
    return undefined;
  }

  #nextTeam(shares: FairShares, triedTeams: ReadonlySet<string>): string | undefined {
    let best: string | undefined;
    let bestStart = Infinity;
    let bestSequence = Infinity;
    for (const [team, queue] of this.#teams) {
      const start = shares.virtualStartOf(team);
      const sequence = queue.first?.sequence ?? Infinity;
      if (!triedTeams.has(team) && (start < bestStart || (start === bestStart && sequence < bestSequence))) {
        best = team;
        bestStart = start;
        bestSequence = sequence;
      }
    }
    return best;
  }
}
