import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { MetricSample } from './metrics';

/** Histogram units in one second; a unit is 0.1 ms, below which loopback times don't differ usefully. */
const UNITS_PER_SECOND = 10_000;

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Latency histograms since the start of the process, one for each set of labels. */
export class LatencyHistograms {
  readonly #histograms = new Map<string, { histogram: Histogram; labels: Record<string, string> }>();

  /** Records a time in ms. */
  record(labels: Record<string, string>, ms: number): void {
    const units = Math.max(1, Math.round((ms * UNITS_PER_SECOND) / 1000));
    this.#of(labels).recordValue(units);
  }

  /** Quantiles in seconds, labelled by the quantile besides. */
  quantiles(): MetricSample[] {
    return [...this.#histograms.values()].flatMap(({ histogram, labels }) =>
      QUANTILES.map((quantile) => ({
        labels: { ...labels, quantile: String(quantile) },
        value: histogram.getValueAtPercentile(100 * quantile) / UNITS_PER_SECOND,
      })),
    );
  }

  #of(labels: Record<string, string>): Histogram {
    const name = Object.values(labels).join('/');
    const known = this.#histograms.get(name);
    if (known !== undefined) {
      return known.histogram;
    }
    // Two significant digits keep a histogram at a few kilobytes; WebAssembly would add its module to each.
    const histogram = build({ autoResize: true, numberOfSignificantValueDigits: 2, useWebAssembly: false });
    this.#histograms.set(name, { histogram, labels });
    return histogram;
  }
}
