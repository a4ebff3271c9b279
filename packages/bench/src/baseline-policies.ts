import { chooseTarget, memberShare } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import type { Arrival } from './arrival-trace';
import type { Policy, PolicyFactory, PoolShape, Sink } from './policy';

const NONE: ReadonlySet<string> = new Set();

/** Sends each request at once to a target, where it waits for a slot. */
class DirectPolicy implements Policy {
  readonly #inFlight: number[][];

  constructor(
    readonly name: string,
    pool: PoolShape,
    private readonly sink: Sink,
    private readonly choose: (ownInFlight: readonly number[], entry: number) => number,
  ) {
    this.#inFlight = Array.from({ length: pool.entries }, () => Array<number>(pool.targets).fill(0));
  }

  arrive(arrival: Arrival): void {
    const target = this.choose(this.#own(arrival), arrival.entry);
    this.#count(arrival, target, 1);
    this.sink.send(arrival, target);
  }

  done(arrival: Arrival, target: number): void {
    this.#count(arrival, target, -1);
  }

  tick(): void {
    // These policies keep no time.
  }

  #count(arrival: Arrival, target: number, by: number): void {
    const own = this.#own(arrival);
    own[target] = (own[target] ?? 0) + by;
  }

  #own(arrival: Arrival): number[] {
    return this.#inFlight[arrival.entry] ?? [];
  }
}

/** Each entry sends to the targets in turn. */
export const roundRobin: PolicyFactory = (pool, sink) => {
  const next = Array.from({ length: pool.entries }, (_, entry) => entry);
  return new DirectPolicy('round robin', pool, sink, (_, entry) => {
    next[entry] = ((next[entry] ?? 0) + 1) % pool.targets;
    return next[entry];
  });
};

/** Each entry sends to any target. */
export const random: PolicyFactory = (pool, sink, seed) => {
  const draw = seededRandom(seed);
  return new DirectPolicy('random', pool, sink, () => Math.floor(draw() * pool.targets));
};

/** Each entry takes the one of two targets with less of its own requests in flight. */
export const bestOfTwo: PolicyFactory = (pool, sink, seed) => {
  const draw = seededRandom(seed);
  return new DirectPolicy('best of two per entry', pool, sink, (own) => {
    const [a, b] = [Math.floor(draw() * pool.targets), Math.floor(draw() * pool.targets)];
    return (own[a] ?? 0) <= (own[b] ?? 0) ? a : b;
  });
};

/** Each entry takes a target with the fewest of its own requests in flight. */
export const leastInFlight: PolicyFactory = (pool, sink, seed) => {
  const draw = seededRandom(seed);
  return new DirectPolicy('least in flight per entry', pool, sink, (own) => {
    const least = Math.min(...own);
    const best = own.flatMap((count, target) => (count === least ? [target] : []));
    return best[Math.floor(draw() * best.length)] ?? 0;
  });
};

/** Each entry owns a fixed part of the slots and queues, in order of arrival, for them. */
class StaticSharePolicy implements Policy {
  readonly name = 'static slot share';
  #choices = 0;
  readonly #queues: Arrival[][];
  readonly #shares: { slots: number; vm: string }[][];
  readonly #used: number[][];

  constructor(
    pool: PoolShape,
    private readonly sink: Sink,
  ) {
    const targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#shares = Array.from({ length: pool.entries }, (_, entry) =>
      memberShare(targets, entry, pool.entries),
    );
    this.#used = Array.from({ length: pool.entries }, () => Array<number>(pool.targets).fill(0));
    this.#queues = Array.from({ length: pool.entries }, () => []);
  }

  arrive(arrival: Arrival, now: number): void {
    this.#queues[arrival.entry]?.push(arrival);
    this.#pump(arrival.entry, now);
  }

  done(arrival: Arrival, target: number, now: number): void {
    this.#change(arrival.entry, target, -1);
    this.#pump(arrival.entry, now);
  }

  tick(): void {
    // The share never changes.
  }

  #pump(entry: number, now: number): void {
    const queue = this.#queues[entry] ?? [];
    for (let head = queue[0]; head !== undefined; head = queue[0]) {
      const target = this.#choose(entry);
      if (target === undefined) {
        return;
      }
      queue.shift();
      if (head.at + head.deadlineMs <= now) {
        this.sink.refuse(head, 'late');
        continue;
      }
      this.#change(entry, target, 1);
      this.sink.send(head, target);
    }
  }

  #choose(entry: number): number | undefined {
    this.#choices += 1;
    const used = (vm: string): number => this.#used[entry]?.[Number(vm)] ?? 0;
    const chosen = chooseTarget(this.#shares[entry] ?? [], used, NONE, this.#choices);
    return chosen === undefined ? undefined : Number(chosen.vm);
  }

  #change(entry: number, target: number, by: number): void {
    const used = this.#used[entry] ?? [];
    used[target] = (used[target] ?? 0) + by;
  }
}

/** Each entry owns a fixed part of the slots. */
export const staticShare: PolicyFactory = (pool, sink) => new StaticSharePolicy(pool, sink);
