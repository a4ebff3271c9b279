/** Acknowledgement of the ends of runs, for the incarnation of a worker that has listed them. */
export interface EndAcknowledgement {
  /** Start time of the incarnation, in ms since the epoch. */
  bornAt: number;
  /** Highest number of an end that is stored; the worker drops the ends up to it. */
  number: number;
  /** Monotonic time at which the request that carries it was made, in ms. */
  sentAt: number;
}
