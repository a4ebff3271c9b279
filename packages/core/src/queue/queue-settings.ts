/** Settings of a pool's queue. Times in ms, sizes in bytes. */
export interface QueueSettings {
  /** Life of a grant without renewal. */
  leaseMs: number;
  maxQueued: number;
  maxQueuedBytes: number;
  /** Wait after which work that is not urgent limits the run of consecutive urgent grants. */
  starvationBoundMs: number;
  /** Consecutive urgent grants while other work waits past its bound. */
  urgentBurst: number;
  /** Time within which urgent work should start. */
  urgentTargetMs: number;
}

/** Share of a team in a pool. */
export interface TeamPolicy {
  /** Most requests in flight and queued; undefined when unlimited. */
  quota: { inFlight: number; queued: number } | undefined;
  weight: number;
}

/** Settings of a queue whose pool sets nothing. */
export const DEFAULT_QUEUE_SETTINGS: QueueSettings = {
  leaseMs: 5000,
  maxQueued: 10_000,
  maxQueuedBytes: 67_108_864,
  starvationBoundMs: 2000,
  urgentBurst: 8,
  urgentTargetMs: 4600,
};
