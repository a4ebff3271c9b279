import type { FairShares } from './fair-shares';
import type { QueuePlace } from './linked-queue';
import type { QueueRequest, WorkClass } from './queue-request';
import { LinkedQueue } from './linked-queue';

/** Request with its place in a lane. */
export interface QueuedRequest {
  /** Time of arrival, in ms. */
  at: number;
  class: WorkClass;
  expectedMs: number;
  place: QueuePlace<QueuedRequest> | undefined;
  req: QueueRequest;
  /** Number in order of arrival. */
  sequence: number;
}

/** What to do with a queued request: grant it, leave it, or take it out of the lane. */
export type LaneVerdict = 'drop' | 'grant' | 'skip';

// Requests that avoid certain VMs may be passed over; a longer search costs more than it gains.
const LOOK_AHEAD = 16;

/** Queued requests of one order, a first-in, first-out list for each team. */
export class Lane {
  #size = 0;
  readonly #teams = new Map<string, LinkedQueue<QueuedRequest>>();
  #workMs = 0;

  /** Number of requests. */
  get size(): number {
    return this.#size;
  }

  /** Expected run time of all requests, in ms. */
  get workMs(): number {
    return this.#workMs;
  }

  /** Arrival of the oldest request, in ms; undefined when the lane is empty. */
  get oldestAt(): number | undefined {
    let oldest: number | undefined;
    for (const queue of this.#teams.values()) {
      const at = queue.first?.at;
      oldest = at !== undefined && at < (oldest ?? Infinity) ? at : oldest;
    }
    return oldest;
  }

  /** Appends a request. */
  add(queued: QueuedRequest): void {
    const queue = this.#teams.get(queued.req.team) ?? new LinkedQueue();
    this.#teams.set(queued.req.team, queue);
    queued.place = queue.push(queued);
    this.#size += 1;
    this.#workMs += queued.expectedMs;
  }

  /** Removes a request in constant time. */
  remove(queued: QueuedRequest): void {
    const queue = this.#teams.get(queued.req.team);
    if (queue === undefined || queued.place === undefined || !queue.remove(queued.place)) {
      return;
    }
    this.#size -= 1;
    this.#workMs = this.#size === 0 ? 0 : this.#workMs - queued.expectedMs;
    if (queue.size === 0) {
      this.#teams.delete(queued.req.team);
    }
  }

  /**
   * First request, in order of the teams' virtual time, that the judge grants; the request stays queued.
   * The judge removes the requests that it drops.
   */
  pick(shares: FairShares, judge: (queued: QueuedRequest) => LaneVerdict): QueuedRequest | undefined {
    const passed = new Set<string>();
    for (let team = this.#nextTeam(shares, passed); team !== undefined;) {
      const found = this.#pickOf(team, judge);
      if (found !== undefined) {
        return found;
      }
      passed.add(team);
      team = this.#nextTeam(shares, passed);
    }
    return undefined;
  }

  #pickOf(team: string, judge: (queued: QueuedRequest) => LaneVerdict): QueuedRequest | undefined {
    let skipped = 0;
    for (const queued of this.#teams.get(team) ?? []) {
      const verdict = judge(queued);
      if (verdict === 'grant') {
        return queued;
      }
      skipped += verdict === 'skip' ? 1 : 0;
      if (skipped >= LOOK_AHEAD) {
        return undefined;
      }
    }
    return undefined;
  }

  #nextTeam(shares: FairShares, passed: ReadonlySet<string>): string | undefined {
    let best: string | undefined;
    let bestStart = Infinity;
    let bestSequence = Infinity;
    for (const [team, queue] of this.#teams) {
      const start = shares.startOf(team);
      const sequence = queue.first?.sequence ?? Infinity;
      if (!passed.has(team) && (start < bestStart || (start === bestStart && sequence < bestSequence))) {
        best = team;
        bestStart = start;
        bestSequence = sequence;
      }
    }
    return best;
  }
}
