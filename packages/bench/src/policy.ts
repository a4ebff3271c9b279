import type { Arrival } from './arrival-trace';

/** Shape of the pool that a policy decides for. */
export interface PoolShape {
  entries: number;
  slots: number;
  targets: number;
}

/** Where a policy sends requests, or refuses them. */
export interface Sink {
  refuse: (arrival: Arrival, when: 'early' | 'late') => void;
  send: (arrival: Arrival, target: number) => void;
}

/** Way of assigning requests to the targets of one pool. Times in ms. */
export interface Policy {
  arrive: (arrival: Arrival, now: number) => void;
  done: (arrival: Arrival, target: number, now: number) => void;
  readonly name: string;
  /** Called every 100 ms, as in an entry. */
  tick: (now: number) => void;
}

/** Builds a policy for a pool. */
export type PolicyFactory = (pool: PoolShape, sink: Sink, seed: number) => Policy;
