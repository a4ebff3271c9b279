import { chooseTarget, memberShare } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import type { Arrival } from './arrival-trace';
import type { DispatchSink, Policy, PolicyFactory, PoolSize } from './policy';

const NO_EXCLUDED_TARGETS: ReadonlySet<string> = new Set();

/** Sends each request to a target on arrival; the request waits there for a free slot. */
class DirectPolicy implements Policy {
  readonly #inFlightByEntry: number[][];

  constructor(
    readonly name: string,
    pool: PoolSize,
    private readonly sink: DispatchSink,
    private readonly choose: (ownInFlight: readonly number[], entry: number) => number,
  ) {
    this.#inFlightByEntry = Array.from({ length: pool.entries }, () => Array<number>(pool.targets).fill(0));
  }

  onArrival(arrival: Arrival): void {
    const target = this.choose(this.#inFlightOf(arrival), arrival.entry);
    this.#adjustInFlight(arrival, target, 1);
    this.sink.send(arrival, target);
  }

  onCompletion(arrival: Arrival, target: number): void {
    this.#adjustInFlight(arrival, target, -1);
  }

  onTick(): void {
    // These policies have no time-dependent state.
  }

  #adjustInFlight(arrival: Arrival, target: number, by: number): void {
    const own = this.#inFlightOf(arrival);
    own[target] = (own[target] ?? 0) + by;
  }

  #inFlightOf(arrival: Arrival): number[] {
    return this.#inFlightByEntry[arrival.entry] ?? [];
  }
}

/** Each entry cycles through the targets; the entries start at different ones. */
export const roundRobin: PolicyFactory = (pool, sink) => {
  const lastTargetByEntry = Array.from({ length: pool.entries }, (_, entry) => entry);
  return new DirectPolicy('round robin', pool, sink, (_, entry) => {
    lastTargetByEntry[entry] = ((lastTargetByEntry[entry] ?? 0) + 1) % pool.targets;
    return lastTargetByEntry[entry];
  });
};

/** Each entry chooses a random target. */
export const randomTarget: PolicyFactory = (pool, sink, seed) => {
  const nextRandom = seededRandom(seed);
  return new DirectPolicy('random', pool, sink, () => Math.floor(nextRandom() * pool.targets));
};

/** Each entry chooses, of two random targets, the one with fewer of its own requests in flight. */
export const bestOfTwo: PolicyFactory = (pool, sink, seed) => {
  const nextRandom = seededRandom(seed);
  return new DirectPolicy('best of two per entry', pool, sink, (own) => {
    const [first, second] = [
      Math.floor(nextRandom() * pool.targets),
      Math.floor(nextRandom() * pool.targets),
    ];
    return (own[first] ?? 0) <= (own[second] ?? 0) ? first : second;
  });
};

/** Each entry chooses a random one of the targets with the fewest of its own requests in flight. */
export const leastInFlight: PolicyFactory = (pool, sink, seed) => {
  const nextRandom = seededRandom(seed);
  return new DirectPolicy('least in flight per entry', pool, sink, (own) => {
    const minInFlight = Math.min(...own);
    const candidates = own.flatMap((count, target) => (count === minInFlight ? [target] : []));
    return candidates[Math.floor(nextRandom() * candidates.length)] ?? 0;
  });
};

/** Each entry has a fixed share of the slots and a first-in, first-out queue for them. */
class StaticSharePolicy implements Policy {
  readonly name = 'static slot share';
  #choiceCount = 0;
  readonly #queues: Arrival[][];
  readonly #shares: { slots: number; vm: string }[][];
  readonly #usedSlots: number[][];

  constructor(
    pool: PoolSize,
    private readonly sink: DispatchSink,
  ) {
    const targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#shares = Array.from({ length: pool.entries }, (_, entry) =>
      memberShare(targets, entry, pool.entries),
    );
    this.#usedSlots = Array.from({ length: pool.entries }, () => Array<number>(pool.targets).fill(0));
    this.#queues = Array.from({ length: pool.entries }, () => []);
  }

  onArrival(arrival: Arrival, now: number): void {
    this.#queues[arrival.entry]?.push(arrival);
    this.#dispatch(arrival.entry, now);
  }

  onCompletion(arrival: Arrival, target: number, now: number): void {
    this.#adjustUsedSlots(arrival.entry, target, -1);
    this.#dispatch(arrival.entry, now);
  }

  onTick(): void {
    // The shares never change.
  }

  #dispatch(entry: number, now: number): void {
    const queue = this.#queues[entry] ?? [];
    for (let head = queue[0]; head !== undefined; head = queue[0]) {
      const target = this.#chooseTarget(entry);
      if (target === undefined) {
        return;
      }
      queue.shift();
      if (head.arrivedAt + head.deadlineMs <= now) {
        this.sink.refuse(head, 'late');
        continue;
      }
      this.#adjustUsedSlots(entry, target, 1);
      this.sink.send(head, target);
    }
  }

  #chooseTarget(entry: number): number | undefined {
    this.#choiceCount += 1;
    const used = (vm: string): number => this.#usedSlots[entry]?.[Number(vm)] ?? 0;
    const chosen = chooseTarget(this.#shares[entry] ?? [], used, NO_EXCLUDED_TARGETS, this.#choiceCount);
    return chosen === undefined ? undefined : Number(chosen.vm);
  }

  #adjustUsedSlots(entry: number, target: number, by: number): void {
    const used = this.#usedSlots[entry] ?? [];
    used[target] = (used[target] ?? 0) + by;
  }
}

/** Each entry has a fixed share of the slots. */
export const staticShare: PolicyFactory = (pool, sink) => new StaticSharePolicy(pool, sink);
