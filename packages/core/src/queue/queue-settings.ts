/** Settings of a pool's queue. Times in ms, sizes in bytes. */
export interface QueueSettings {
  /** Time after which a grant expires unless it is renewed. */
  leaseMs: number;
  maxQueued: number;
  maxQueuedBytes: number;
  /** Wait of non-urgent work above which the number of consecutive urgent grants is limited. */
  starvationBoundMs: number;
  /** Maximum number of consecutive urgent grants while other work waits longer than `starvationBoundMs`. */
  urgentBurst: number;
  /** Target for the wait of urgent work. */
  urgentTargetMs: number;
}

/** Weight and quota of a team in a pool. */
export interface TeamPolicy {
  /** Maximum number of requests in flight and queued; undefined when unlimited. */
  quota: { inFlight: number; queued: number } | undefined;
  /** Relative share of the pool's slots. */
  weight: number;
}

/** Default settings of a queue. */
export const DEFAULT_QUEUE_SETTINGS: QueueSettings = {
  leaseMs: 5000,
  maxQueued: 10_000,
  maxQueuedBytes: 67_108_864,
  starvationBoundMs: 2000,
  urgentBurst: 8,
  urgentTargetMs: 4600,
};
