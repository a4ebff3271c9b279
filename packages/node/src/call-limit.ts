/** Bounds of the limit for a call to the store, in ms. */
const MIN_LIMIT_MS = 400;
const MAX_LIMIT_MS = 900;

/** Limit for a call as a multiple of the usual time. */
const USUAL_TIMES = 8;

/** Weight of the newest time in the average. */
const NEWEST_WEIGHT = 0.2;

/** Limit for calls to a service, learned from the times that its answers took. */
export class CallLimit {
  #usualMs = MIN_LIMIT_MS / USUAL_TIMES;

  /** Present limit, in ms. */
  get ms(): number {
    return Math.min(MAX_LIMIT_MS, Math.max(MIN_LIMIT_MS, USUAL_TIMES * this.#usualMs));
  }

  /** Takes the time that an answer took, in ms. */
  answered(tookMs: number): void {
    this.#usualMs += NEWEST_WEIGHT * (tookMs - this.#usualMs);
  }

  /** Takes the lack of an answer within the limit. */
  missed(): void {
    this.#usualMs = Math.min(MAX_LIMIT_MS / USUAL_TIMES, this.#usualMs * 2);
  }
}
