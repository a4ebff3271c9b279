const BUCKETS_PER_DOUBLING = 4;
const BUCKETS = 96; // reaches 2^24 ms, about 4.6 hours

// Renormalising before the newest weight reaches this keeps sums far from overflow.
const MAX_WEIGHT = 1e100;

/** Histogram of run times in which each new sample outweighs older ones. Times in ms. */
export class RunTimeHistogram {
  #sum = 0;
  #total = 0;
  #weight = 1;
  readonly #weights = new Float64Array(BUCKETS);

  /** `decay` is the factor, below 1, by which a sample loses weight with each later one. */
  constructor(private readonly decay: number) {}

  /** Adds a measured run time. */
  add(runMs: number): void {
    this.#weight /= this.decay;
    if (this.#weight > MAX_WEIGHT) {
      this.#renormalise();
    }
    const bucket = bucketOf(runMs);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + this.#weight;
    this.#total += this.#weight;
    this.#sum += this.#weight * runMs;
  }

  /** Weighted mean, or 0 without samples. */
  get mean(): number {
    return this.#total === 0 ? 0 : this.#sum / this.#total;
  }

  /** Upper bound of the bucket that contains a quantile from 0 to 1; 0 without samples. */
  quantile(q: number): number {
    const wanted = q * this.#total;
    let seen = 0;
    for (const [bucket, weight] of this.#weights.entries()) {
      seen += weight;
      if (weight > 0 && seen >= wanted) {
        return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
      }
    }
    return 0;
  }

  #renormalise(): void {
    for (const [bucket, weight] of this.#weights.entries()) {
      this.#weights[bucket] = weight / this.#weight;
    }
    this.#sum /= this.#weight;
    this.#total /= this.#weight;
    this.#weight = 1;
  }
}

function bucketOf(runMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, runMs)) * BUCKETS_PER_DOUBLING);
  return Math.min(bucket, BUCKETS - 1);
}
