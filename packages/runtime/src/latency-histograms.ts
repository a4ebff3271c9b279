import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { MetricSample } from './metrics';

/** Histogram units per second. One unit is 0.1 ms; smaller differences between loopback times carry no information. */
const UNITS_PER_SECOND = 10_000;

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Latency histograms since process start, one per set of labels. */
export class LatencyHistograms {
  readonly #histograms = new Map<string, { histogram: Histogram; labels: Record<string, string> }>();

  /** Records a latency in ms. */
  record(labels: Record<string, string>, ms: number): void {
    const units = Math.max(1, Math.round((ms * UNITS_PER_SECOND) / 1000));
    this.#histogramFor(labels).recordValue(units);
  }

  /** Returns the quantiles of each histogram in seconds, with the quantile as an additional label. */
  quantiles(): MetricSample[] {
    return [...this.#histograms.values()].flatMap(({ histogram, labels }) =>
      QUANTILES.map((quantile) => ({
        labels: { ...labels, quantile: String(quantile) },
        value: histogram.getValueAtPercentile(100 * quantile) / UNITS_PER_SECOND,
      })),
    );
  }

  #histogramFor(labels: Record<string, string>): Histogram {
    const key = Object.values(labels).join('/');
    const existing = this.#histograms.get(key);
    if (existing !== undefined) {
      return existing.histogram;
    }
    // Two significant digits limit a histogram to a few kilobytes; with WebAssembly, each histogram would
    // also hold a module instance.
    const histogram = build({ autoResize: true, numberOfSignificantValueDigits: 2, useWebAssembly: false });
    this.#histograms.set(key, { histogram, labels });
    return histogram;
  }
}
