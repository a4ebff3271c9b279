import type { DispatchResult } from '@sequoiaquay/core';
import {
  chooseTarget,
  DEFAULT_QUEUE_SETTINGS,
  memberShare,
  PoolQueue,
  RunTimeClassifier,
} from '@sequoiaquay/core';
import type { Arrival } from './arrival-trace';
import type { Policy, PolicyFactory, PoolShape, Sink } from './policy';

/** Options of the policy whose owner is lost once in each period of the trace. Times in ms. */
export interface OwnerLossOptions {
  /** Time until the next owner begins. */
  gapMs: number;
  keptShortSlots: number;
  /** Whether the next owner has learnt classes from the requests that it received itself. */
  learnt: boolean;
  name: string;
  /** Whether members use their own share during the gap. */
  ownShare: boolean;
  /** Whether members report their grants in use to the next owner. */
  report: boolean;
}

/** Time into a period at which the owner is lost: three seconds into the peak. */
const LOSS_AT_MS = 20_000;
const PERIOD_MS = 40_000;
const NEXT_OWNER = 0;
const NONE: ReadonlySet<string> = new Set();

interface Use {
  arrival: Arrival;
  startedAt: number;
  target: number;
}

/** One owner that is lost in each peak; its queue, learnt classes and grants are lost with it. */
class OwnerLossPolicy implements Policy {
  readonly name: string;
  #choices = 0;
  readonly #inUse = new Map<string, Use>();
  readonly #inUseOf = new Map<string, number>();
  #lostAt: number | undefined;
  #queue: PoolQueue;
  /** What the next owner has learnt. */
  #standby = new RunTimeClassifier();
  readonly #targets: { slots: number; vm: string }[];
  readonly #waiting = new Map<string, Arrival>();

  constructor(
    private readonly options: OwnerLossOptions,
    private readonly pool: PoolShape,
    private readonly sink: Sink,
    private readonly seed: number,
  ) {
    this.name = options.name;
    this.#targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#queue = this.#newQueue(new RunTimeClassifier());
  }

  arrive(arrival: Arrival, now: number): void {
    this.#waiting.set(arrival.id, arrival);
    if (this.#lostAt !== undefined) {
      this.#useShares(now);
      return;
    }
    this.#offer(arrival, now);
    this.#apply(this.#queue.dispatch(now), now);
  }

  done(arrival: Arrival, _target: number, now: number): void {
    const use = this.#inUse.get(arrival.id);
    if (use !== undefined) {
      this.#inUse.delete(arrival.id);
      this.#count(use, -1);
    }
    if (arrival.entry === NEXT_OWNER) {
      this.#standby.record(arrival.job, arrival.runMs);
    }
    if (this.#lostAt !== undefined) {
      this.#useShares(now);
      return;
    }
    this.#queue.release(arrival.id, arrival.runMs);
    this.#apply(this.#queue.dispatch(now), now);
  }

  tick(now: number): void {
    const intoPeriod = now % PERIOD_MS;
    if (
      this.#lostAt === undefined &&
      intoPeriod >= LOSS_AT_MS &&
      intoPeriod < LOSS_AT_MS + this.options.gapMs
    ) {
      this.#lostAt = now;
    } else if (this.#lostAt !== undefined && intoPeriod >= LOSS_AT_MS + this.options.gapMs) {
      this.#lostAt = undefined;
      this.#begin(now);
    }
    if (this.#lostAt === undefined) {
      this.#queue.updateGrants(now);
      this.#apply(this.#queue.dispatch(now), now);
    }
  }

  #newQueue(classes: RunTimeClassifier): PoolQueue {
    const queue = new PoolQueue({
      classifier: classes,
      seed: this.seed,
      settings: { ...DEFAULT_QUEUE_SETTINGS, leaseMs: Infinity },
      teamOf: () => ({ quota: undefined, weight: 1 }),
    });
    queue.setTargets(this.#targets, this.options.keptShortSlots);
    return queue;
  }

  #begin(now: number): void {
    this.#queue = this.#newQueue(this.options.learnt ? this.#standby : new RunTimeClassifier());
    this.#standby = new RunTimeClassifier();
    if (this.options.report) {
      const reported = [...this.#inUse.values()].map(({ arrival, startedAt, target }) => ({
        id: arrival.id,
        job: arrival.job,
        ranMs: now - startedAt,
        team: 'team',
        vm: String(target),
      }));
      this.#queue.adopt('entry', reported, now);
    }
    for (const arrival of this.#waiting.values()) {
      this.#offer(arrival, now);
    }
  }

  #offer(arrival: Arrival, now: number): void {
    const { at, deadlineMs, entry, id, job, urgent } = arrival;
    const member = String(entry);
    const offered = this.#queue.offer(
      { bytes: 1, deadlineAt: at + deadlineMs, excluded: NONE, id, job, member, team: 'team', urgent },
      now,
    );
    if (offered.isErr()) {
      this.#waiting.delete(id);
      this.sink.refuse(arrival, at === now ? 'early' : 'late');
    }
  }

  #apply(effects: DispatchResult, now: number): void {
    for (const { id, vm } of effects.granted) {
      this.#send(id, Number(vm), now);
    }
    for (const { id } of effects.expired) {
      const arrival = this.#waiting.get(id);
      if (this.#waiting.delete(id) && arrival !== undefined) {
        this.sink.refuse(arrival, 'late');
      }
    }
  }

  #useShares(now: number): void {
    const full = new Set<number>();
    for (const arrival of this.options.ownShare ? this.#waiting.values() : []) {
      if (full.has(arrival.entry)) {
        continue;
      }
      if (arrival.at + arrival.deadlineMs <= now) {
        this.#waiting.delete(arrival.id);
        this.sink.refuse(arrival, 'late');
        continue;
      }
      const target = this.#shareOf(arrival.entry);
      if (target === undefined) {
        full.add(arrival.entry);
        continue;
      }
      this.#send(arrival.id, target, now);
    }
  }

  #shareOf(entry: number): number | undefined {
    const share = memberShare(this.#targets, entry, this.pool.entries);
    this.#choices += 1;
    const used = (vm: string): number => this.#inUseOf.get(`${entry}/${vm}`) ?? 0;
    const chosen = chooseTarget(share, used, NONE, this.#choices);
    return chosen === undefined ? undefined : Number(chosen.vm);
  }

  #count(use: Use, by: number): void {
    const key = `${use.arrival.entry}/${use.target}`;
    this.#inUseOf.set(key, (this.#inUseOf.get(key) ?? 0) + by);
  }

  #send(id: string, target: number, now: number): void {
    const arrival = this.#waiting.get(id);
    if (arrival !== undefined) {
      this.#waiting.delete(id);
      const use = { arrival, startedAt: now, target };
      this.#inUse.set(id, use);
      this.#count(use, 1);
      this.sink.send(arrival, target);
    }
  }
}

/** One owner that is lost in each peak. */
export function ownerLoss(options: OwnerLossOptions): PolicyFactory {
  return (pool, sink, seed) => new OwnerLossPolicy(options, pool, sink, seed);
}
