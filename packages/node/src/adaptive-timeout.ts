/** Bounds of the timeout of a call to the store, in ms. */
const MIN_TIMEOUT_MS = 400;
const MAX_TIMEOUT_MS = 900;

/** Timeout as a multiple of the average response time. */
const TIMEOUT_FACTOR = 8;

/** Weight of the newest response time in the exponential moving average. */
const SMOOTHING_FACTOR = 0.2;

/** Timeout for calls to the store that follows a moving average of the response times. */
export class AdaptiveTimeout {
  #averageMs = MIN_TIMEOUT_MS / TIMEOUT_FACTOR;

  /** Timeout for the next call, in ms. */
  get currentMs(): number {
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * this.#averageMs));
  }

  /** Updates the average with the response time of a call, in ms. */
  recordResponse(durationMs: number): void {
    this.#averageMs += SMOOTHING_FACTOR * (durationMs - this.#averageMs);
  }

  /** Doubles the average, up to the upper bound, after a call that timed out. */
  recordTimeout(): void {
    this.#averageMs = Math.min(MAX_TIMEOUT_MS / TIMEOUT_FACTOR, this.#averageMs * 2);
  }
}
