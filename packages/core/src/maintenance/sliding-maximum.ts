/** Time for which values share a bucket, in ms. */
const BUCKET_MS = 1000;

interface Bucket {
  max: number;
  since: number;
}

/** Maximum of the values of a time window, kept in buckets of one second. */
export class SlidingMaximum {
  #buckets: Bucket[];

  constructor(
    initial: number,
    now: number,
    private readonly windowMs: number,
  ) {
    this.#buckets = [{ max: initial, since: now }];
  }

  /** Maximum of the values in the window; 0 when there are none. */
  get value(): number {
    return Math.max(0, ...this.#buckets.map((bucket) => bucket.max));
  }

  /** Adds a value at a monotonic time, in ms. */
  add(value: number, now: number): void {
    const last = this.#buckets.at(-1);
    if (last !== undefined && now - last.since < BUCKET_MS) {
      last.max = Math.max(last.max, value);
    } else {
      this.#buckets.push({ max: value, since: now });
    }
    this.#buckets = this.#buckets.filter((bucket) => now - bucket.since < this.windowMs);
  }
}
