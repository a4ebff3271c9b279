import type { DispatchResult, JobClassifier } from '@sequoiaquay/core';
import { DEFAULT_QUEUE_SETTINGS, PoolQueue, RunTimeClassifier } from '@sequoiaquay/core';
import type { Arrival } from './arrival-trace';
import type { Policy, PolicyFactory, PoolShape, Sink } from './policy';
import { knownClasses, oneClass } from './job-classes';

/** Options of the policy with one queue owner. */
export interface OwnerOptions {
  classes: 'known' | 'learnt' | 'one';
  keptShortSlots: number;
  name: string;
}

const NONE: ReadonlySet<string> = new Set();

/** Assigns requests with the queue classes of the entry. */
class OwnerPolicy implements Policy {
  readonly name: string;
  readonly #queue: PoolQueue;
  readonly #waiting = new Map<string, Arrival>();

  constructor(
    options: OwnerOptions,
    pool: PoolShape,
    private readonly sink: Sink,
    seed: number,
  ) {
    this.name = options.name;
    this.#queue = new PoolQueue({
      classifier: classesOf(options.classes),
      seed,
      // The targets of the model never lose a grant, so leases don't have to be renewed.
      settings: { ...DEFAULT_QUEUE_SETTINGS, leaseMs: Infinity },
      teamOf: () => ({ quota: undefined, weight: 1 }),
    });
    const targets = Array.from({ length: pool.targets }, (_, vm) => ({ slots: pool.slots, vm: String(vm) }));
    this.#queue.setTargets(targets, options.keptShortSlots);
  }

  arrive(arrival: Arrival, now: number): void {
    const { at, deadlineMs, entry, id, job, urgent } = arrival;
    const member = String(entry);
    const offered = this.#queue.offer(
      { bytes: 1, deadlineAt: at + deadlineMs, excluded: NONE, id, job, member, team: 'team', urgent },
      now,
    );
    if (offered.isErr()) {
      this.sink.refuse(arrival, 'early');
      return;
    }
    this.#waiting.set(id, arrival);
    this.#apply(this.#queue.dispatch(now));
  }

  done(arrival: Arrival, _target: number, now: number): void {
    this.#queue.release(arrival.id, arrival.runMs);
    this.#apply(this.#queue.dispatch(now));
  }

  tick(now: number): void {
    this.#queue.updateGrants(now);
    this.#apply(this.#queue.dispatch(now));
  }

  #apply(effects: DispatchResult): void {
    for (const grant of effects.granted) {
      const arrival = this.#take(grant.id);
      if (arrival !== undefined) {
        this.sink.send(arrival, Number(grant.vm));
      }
    }
    for (const { id } of effects.expired) {
      const arrival = this.#take(id);
      if (arrival !== undefined) {
        this.sink.refuse(arrival, 'late');
      }
    }
  }

  #take(id: string): Arrival | undefined {
    const arrival = this.#waiting.get(id);
    this.#waiting.delete(id);
    return arrival;
  }
}

/** One owner of the queue, with the given options. */
export function oneOwner(options: OwnerOptions): PolicyFactory {
  return (pool, sink, seed) => new OwnerPolicy(options, pool, sink, seed);
}

function classesOf(kind: OwnerOptions['classes']): JobClassifier {
  switch (kind) {
    case 'known':
      return knownClasses;
    case 'learnt':
      return new RunTimeClassifier();
    case 'one':
      return oneClass;
  }
}
