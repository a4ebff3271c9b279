import type { DispatchResult, JobClassifier } from '@sequoiaquay/core';
import { DEFAULT_QUEUE_SETTINGS, PoolQueue, RunTimeClassifier } from '@sequoiaquay/core';
import type { Arrival } from './arrival-trace';
import type { DispatchSink, Policy, PolicyFactory, PoolSize } from './policy';
import { knownJobClassifier, singleClassClassifier } from './job-classifiers';

/** Options of the policy with a single queue owner. */
export interface SingleOwnerOptions {
  /** `known` knows the class of each job in advance, `learnt` learns it from runs, `one` uses a single class. */
  classifierKind: 'known' | 'learnt' | 'one';
  name: string;
  /** Number of slots of the pool that are reserved for short requests. */
  reservedShortSlots: number;
}

const NO_EXCLUDED_TARGETS: ReadonlySet<string> = new Set();

/** Assigns requests with the `PoolQueue` that an entry uses in production. */
class SingleOwnerPolicy implements Policy {
  readonly name: string;
  readonly #queue: PoolQueue;
  readonly #waiting = new Map<string, Arrival>();

  constructor(
    options: SingleOwnerOptions,
    pool: PoolSize,
    private readonly sink: DispatchSink,
    seed: number,
  ) {
    this.name = options.name;
    this.#queue = new PoolQueue({
      classifier: createClassifier(options.classifierKind),
      seed,
      // Grants are never lost in the simulation, so they need no lease renewal.
      settings: { ...DEFAULT_QUEUE_SETTINGS, leaseMs: Infinity },
      teamOf: () => ({ quota: undefined, weight: 1 }),
    });
    const targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#queue.setTargets(targets, options.reservedShortSlots);
  }

  onArrival(arrival: Arrival, now: number): void {
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
      this.sink.refuse(arrival, 'early');
      return;
    }
    this.#waiting.set(id, arrival);
    this.#applyResult(this.#queue.dispatch(now));
  }

  onCompletion(arrival: Arrival, _target: number, now: number): void {
    this.#queue.release(arrival.id, arrival.runMs);
    this.#applyResult(this.#queue.dispatch(now));
  }

  onTick(now: number): void {
    this.#queue.updateGrants(now);
    this.#applyResult(this.#queue.dispatch(now));
  }

  #applyResult(result: DispatchResult): void {
    for (const grant of result.granted) {
      const arrival = this.#removeWaiting(grant.id);
      if (arrival !== undefined) {
        this.sink.send(arrival, Number(grant.vm));
      }
    }
    for (const { id } of result.expired) {
      const arrival = this.#removeWaiting(id);
      if (arrival !== undefined) {
        this.sink.refuse(arrival, 'late');
      }
    }
  }

  #removeWaiting(id: string): Arrival | undefined {
    const arrival = this.#waiting.get(id);
    this.#waiting.delete(id);
    return arrival;
  }
}

/** Creates a policy with a single queue owner. */
export function singleOwner(options: SingleOwnerOptions): PolicyFactory {
  return (pool, sink, seed) => new SingleOwnerPolicy(options, pool, sink, seed);
}

function createClassifier(kind: SingleOwnerOptions['classifierKind']): JobClassifier {
  switch (kind) {
    case 'known':
      return knownJobClassifier;
    case 'learnt':
      return new RunTimeClassifier();
    case 'one':
      return singleClassClassifier;
  }
}
