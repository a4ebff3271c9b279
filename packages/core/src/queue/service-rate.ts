/** Time constant of the exponential decay, in ms: older measurements lose about two thirds of their weight in it. */
const TIME_CONSTANT_MS = 2000;

/** Weight of the assumed rate, as an equivalent time of measurement in ms. */
const PRIOR_WEIGHT_MS = 500;

/** Exponentially decaying rate at which a lane's work is granted, measured while requests wait in the lane. */
export class ServiceRate {
  #updatedAt = 0;
  #busyMs = 0;
  #workMs = 0;

  /** Advances to a time, in ms; `hasWaiting` indicates whether requests have waited since the last call. */
  advance(now: number, hasWaiting: boolean): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = now;
    if (!hasWaiting || elapsed === 0) {
      return;
    }
    const decay = Math.exp(-elapsed / TIME_CONSTANT_MS);
    this.#busyMs = (this.#busyMs + elapsed) * decay;
    this.#workMs *= decay;
  }

  /** Records granted work that had waited, in ms of expected run time. */
  recordGranted(workMs: number): void {
    this.#workMs += workMs;
  }

  /** Work granted per ms, in ms; `assumedRate` dominates until enough has been measured. */
  perMs(assumedRate: number): number {
    return (this.#workMs + assumedRate * PRIOR_WEIGHT_MS) / (this.#busyMs + PRIOR_WEIGHT_MS);
  }
}
