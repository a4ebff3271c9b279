import type { DispatchResult } from '@sequoiaquay/core';
import {
  chooseTarget,
  DEFAULT_QUEUE_SETTINGS,
  memberShare,
  PoolQueue,
  RunTimeClassifier,
} from '@sequoiaquay/core';
import type { Arrival } from './arrival-trace';
import type { DispatchSink, Policy, PolicyFactory, PoolSize } from './policy';

/** Options of the policy that loses its queue owner once in each period of the trace. Times in ms. */
export interface OwnerLossOptions {
  /** Whether the next owner has trained its classifier on the requests that it received as an entry. */
  isClassifierTrained: boolean;
  name: string;
  /** Whether entries report their grants in use to the next owner. */
  reportsGrants: boolean;
  /** Number of slots of the pool that are reserved for short requests. */
  reservedShortSlots: number;
  /** Time between the loss of the owner and the start of the next one. */
  takeoverDelayMs: number;
  /** Whether entries dispatch to their member share of the slots while there is no owner. */
  usesMemberShares: boolean;
}

/** Offset in a period at which the owner is lost: 3 s after the onset of the peak. */
const OWNER_LOSS_AT_MS = 20_000;
const PERIOD_MS = 40_000;
/** Index of the entry that becomes the next owner. */
const NEXT_OWNER_ENTRY = 0;
const NO_EXCLUDED_TARGETS: ReadonlySet<string> = new Set();

/** Request that occupies a slot of a target. */
interface GrantInUse {
  arrival: Arrival;
  startedAt: number;
  target: number;
}

/** Single queue owner that is lost in each peak together with its queue, classifier and grants. */
class OwnerLossPolicy implements Policy {
  readonly name: string;
  #choiceCount = 0;
  readonly #grantsInUse = new Map<string, GrantInUse>();
  readonly #inUseByEntryAndTarget = new Map<string, number>();
  #lostAt: number | undefined;
  #queue: PoolQueue;
  /** Classifier that the next owner trains before it takes over. */
  #standbyClassifier = new RunTimeClassifier();
  readonly #targets: { slots: number; vm: string }[];
  readonly #waiting = new Map<string, Arrival>();

  constructor(
    private readonly options: OwnerLossOptions,
    private readonly pool: PoolSize,
    private readonly sink: DispatchSink,
    private readonly seed: number,
  ) {
    this.name = options.name;
    this.#targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#queue = this.#createQueue(new RunTimeClassifier());
  }

  onArrival(arrival: Arrival, now: number): void {
    this.#waiting.set(arrival.id, arrival);
    if (this.#lostAt !== undefined) {
      this.#dispatchFromShares(now);
      return;
    }
    this.#offer(arrival, now);
    this.#applyResult(this.#queue.dispatch(now), now);
  }

  onCompletion(arrival: Arrival, _target: number, now: number): void {
    const grant = this.#grantsInUse.get(arrival.id);
    if (grant !== undefined) {
      this.#grantsInUse.delete(arrival.id);
      this.#adjustInUse(grant, -1);
    }
    if (arrival.entry === NEXT_OWNER_ENTRY) {
      this.#standbyClassifier.record(arrival.job, arrival.runMs);
    }
    if (this.#lostAt !== undefined) {
      this.#dispatchFromShares(now);
      return;
    }
    this.#queue.release(arrival.id, arrival.runMs);
    this.#applyResult(this.#queue.dispatch(now), now);
  }

  onTick(now: number): void {
    const offsetMs = now % PERIOD_MS;
    if (
      this.#lostAt === undefined &&
      offsetMs >= OWNER_LOSS_AT_MS &&
      offsetMs < OWNER_LOSS_AT_MS + this.options.takeoverDelayMs
    ) {
      this.#lostAt = now;
    } else if (this.#lostAt !== undefined && offsetMs >= OWNER_LOSS_AT_MS + this.options.takeoverDelayMs) {
      this.#lostAt = undefined;
      this.#startNextOwner(now);
    }
    if (this.#lostAt === undefined) {
      this.#queue.updateGrants(now);
      this.#applyResult(this.#queue.dispatch(now), now);
    }
  }

  #createQueue(classifier: RunTimeClassifier): PoolQueue {
    const queue = new PoolQueue({
      classifier,
      seed: this.seed,
      settings: { ...DEFAULT_QUEUE_SETTINGS, leaseMs: Infinity },
      teamOf: () => ({ quota: undefined, weight: 1 }),
    });
    queue.setTargets(this.#targets, this.options.reservedShortSlots);
    return queue;
  }

  #startNextOwner(now: number): void {
    this.#queue = this.#createQueue(
      this.options.isClassifierTrained ? this.#standbyClassifier : new RunTimeClassifier(),
    );
    this.#standbyClassifier = new RunTimeClassifier();
    if (this.options.reportsGrants) {
      const reported = [...this.#grantsInUse.values()].map(({ arrival, startedAt, target }) => ({
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
    const { arrivedAt, deadlineMs, entry, id, job, urgent } = arrival;
    const member = String(entry);
    const offerResult = this.#queue.offer(
      {
        bytes: 1,
        deadlineAt: arrivedAt + deadlineMs,
        excluded: NO_EXCLUDED_TARGETS,
        id,
        job,
        member,
        team: 'team',
        urgent,
      },
      now,
    );
    if (offerResult.isErr()) {
      this.#waiting.delete(id);
      this.sink.refuse(arrival, arrivedAt === now ? 'early' : 'late');
    }
  }

  #applyResult(result: DispatchResult, now: number): void {
    for (const { id, vm } of result.granted) {
      this.#send(id, Number(vm), now);
    }
    for (const { id } of result.expired) {
      const arrival = this.#waiting.get(id);
      if (this.#waiting.delete(id) && arrival !== undefined) {
        this.sink.refuse(arrival, 'late');
      }
    }
  }

  #dispatchFromShares(now: number): void {
    const fullEntries = new Set<number>();
    for (const arrival of this.options.usesMemberShares ? this.#waiting.values() : []) {
      if (fullEntries.has(arrival.entry)) {
        continue;
      }
      if (arrival.arrivedAt + arrival.deadlineMs <= now) {
        this.#waiting.delete(arrival.id);
        this.sink.refuse(arrival, 'late');
        continue;
      }
      const target = this.#chooseFromShare(arrival.entry);
      if (target === undefined) {
        fullEntries.add(arrival.entry);
        continue;
      }
      this.#send(arrival.id, target, now);
    }
  }

  #chooseFromShare(entry: number): number | undefined {
    const share = memberShare(this.#targets, entry, this.pool.entries);
    this.#choiceCount += 1;
    const used = (vm: string): number => this.#inUseByEntryAndTarget.get(`${entry}/${vm}`) ?? 0;
    const chosen = chooseTarget(share, used, NO_EXCLUDED_TARGETS, this.#choiceCount);
    return chosen === undefined ? undefined : Number(chosen.vm);
  }

  #adjustInUse(grant: GrantInUse, by: number): void {
    const key = `${grant.arrival.entry}/${grant.target}`;
    this.#inUseByEntryAndTarget.set(key, (this.#inUseByEntryAndTarget.get(key) ?? 0) + by);
  }

  #send(id: string, target: number, now: number): void {
    const arrival = this.#waiting.get(id);
    if (arrival !== undefined) {
      this.#waiting.delete(id);
      const grant = { arrival, startedAt: now, target };
      this.#grantsInUse.set(id, grant);
      this.#adjustInUse(grant, 1);
      this.sink.send(arrival, target);
    }
  }
}

/** Creates a policy with a single queue owner that is lost in each peak. */
export function ownerLoss(options: OwnerLossOptions): PolicyFactory {
  return (pool, sink, seed) => new OwnerLossPolicy(options, pool, sink, seed);
}
