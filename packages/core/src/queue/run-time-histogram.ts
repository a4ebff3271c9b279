const BUCKETS_PER_DOUBLING = 4;
const BUCKET_COUNT = 96; // reaches 2^24 ms, about 4.6 hours

// The weights are normalised when the weight of the newest sample exceeds this, long before a sum overflows.
const MAX_WEIGHT = 1e100;

/** Histogram of run times with exponentially decaying weights. Times in ms. */
export class RunTimeHistogram {
  #weightedSum = 0;
  #totalWeight = 0;
  #newestWeight = 1;
  readonly #bucketWeights = new Float64Array(BUCKET_COUNT);

  /** `decay` is the factor, below 1, by which each new sample reduces the weight of all earlier ones. */
  constructor(private readonly decay: number) {}

  /** Adds a measured run time. */
  add(runMs: number): void {
    this.#newestWeight /= this.decay;
    if (this.#newestWeight > MAX_WEIGHT) {
      this.#normalise();
    }
    const bucket = bucketOf(runMs);
    this.#bucketWeights[bucket] = (this.#bucketWeights[bucket] ?? 0) + this.#newestWeight;
    this.#totalWeight += this.#newestWeight;
    this.#weightedSum += this.#newestWeight * runMs;
  }

  /** Weighted mean; 0 without samples. */
  get mean(): number {
    return this.#totalWeight === 0 ? 0 : this.#weightedSum / this.#totalWeight;
  }

  /** Upper bound of the bucket that contains the quantile `q`, from 0 to 1; 0 without samples. */
  quantile(q: number): number {
    const targetWeight = q * this.#totalWeight;
    let cumulativeWeight = 0;
    for (const [bucket, weight] of this.#bucketWeights.entries()) {
      cumulativeWeight += weight;
      if (weight > 0 && cumulativeWeight >= targetWeight) {
        return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
      }
    }
    return 0;
  }

  #normalise(): void {
    for (const [bucket, weight] of this.#bucketWeights.entries()) {
      this.#bucketWeights[bucket] = weight / this.#newestWeight;
    }
    this.#weightedSum /= this.#newestWeight;
    this.#totalWeight /= this.#newestWeight;
    this.#newestWeight = 1;
  }
}

function bucketOf(runMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, runMs)) * BUCKETS_PER_DOUBLING);
  return Math.min(bucket, BUCKET_COUNT - 1);
}
