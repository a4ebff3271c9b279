import type { MetricSample } from '@sequoiaquay/runtime';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

/** Histogram units in one second; a unit is 0.1 ms, below which loopback times don't differ usefully. */
const UNITS_PER_SECOND = 10_000;

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Latency histogram of each pool and job since the start of the process. */
export class LatencyHistograms {
  readonly #histograms = new Map<string, { histogram: Histogram; job: string; pool: string }>();

  /** Records the time that a request took, in ms. */
  record(pool: string, job: string, ms: number): void {
    const units = Math.max(1, Math.round((ms * UNITS_PER_SECOND) / 1000));
    this.#of(pool, job).recordValue(units);
  }

  /** Quantiles in seconds, labelled by pool, job and quantile. */
  quantiles(): MetricSample[] {
    return [...this.#histograms.values()].flatMap(({ histogram, job, pool }) =>
      QUANTILES.map((quantile) => ({
        labels: { job, pool, quantile: String(quantile) },
        value: histogram.getValueAtPercentile(100 * quantile) / UNITS_PER_SECOND,
      })),
    );
  }

  #of(pool: string, job: string): Histogram {
    const name = `${pool}/${job}`;
    const known = this.#histograms.get(name);
    if (known !== undefined) {
      return known.histogram;
    }
    // Two significant digits keep a histogram at a few kilobytes; WebAssembly would add its module to each.
    const histogram = build({ autoResize: true, numberOfSignificantValueDigits: 2, useWebAssembly: false });
    this.#histograms.set(name, { histogram, job, pool });
    return histogram;
  }
}
