/** Bounds of the interval between probes, in ms. */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 4000;

/** The interval is multiplied by a random factor from 1 - JITTER to 1 + JITTER. */
const JITTER = 0.25;

/**
 * Interval between test writes of a node that reaches neither the store nor a leader. It doubles with each
 * failed one, since the test writes of many nodes at a constant rate exceed what a slow store takes.
 */
export class ProbeBackoff {
  #baseMs = MIN_INTERVAL_MS;
  #failedAt = -Infinity;
  #intervalMs = MIN_INTERVAL_MS;

  /** Interval until the next probe, in ms. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /**
   * Notes a failed append at a time in ms; `random` is from 0 to below 1. Repeats of one write within the
   * interval count as one probe.
   */
  onFailure(now: number, random: number): void {
    if (now - this.#failedAt < (1 - JITTER) * this.#baseMs) {
      return;
    }
    const isFirst = this.#failedAt === -Infinity;
    this.#failedAt = now;
    this.#baseMs = isFirst ? MIN_INTERVAL_MS : Math.min(MAX_INTERVAL_MS, 2 * this.#baseMs);
    this.#intervalMs = this.#baseMs * (1 - JITTER + 2 * JITTER * random);
  }

  /** Ends the back-off after a success. */
  onSuccess(): void {
    this.#baseMs = MIN_INTERVAL_MS;
    this.#failedAt = -Infinity;
    this.#intervalMs = MIN_INTERVAL_MS;
  }
}
