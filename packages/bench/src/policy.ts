import type { Arrival } from './arrival-trace';

/** Size of a simulated pool. */
export interface PoolSize {
  /** Number of entries that receive requests. */
  entries: number;
  /** Slots of each target. */
  slots: number;
  targets: number;
}

/** Receives the decisions of a policy. */
export interface DispatchSink {
  /** Refuses a request on arrival (`early`) or after it has been accepted (`late`). */
  refuse: (arrival: Arrival, when: 'early' | 'late') => void;
  /** Sends a request to the target with an index. */
  send: (arrival: Arrival, target: number) => void;
}

/** Policy that assigns requests to the targets of one pool. Times in ms. */
export interface Policy {
  readonly name: string;
  onArrival: (arrival: Arrival, now: number) => void;
  onCompletion: (arrival: Arrival, target: number, now: number) => void;
  /** Runs every 100 ms, as in an entry. */
  onTick: (now: number) => void;
}

/** Creates a policy for a pool. */
export type PolicyFactory = (pool: PoolSize, sink: DispatchSink, seed: number) => Policy;
