import type { Env, Hono } from 'hono';
import { Counter, Gauge, Registry } from 'prom-client';

/** One labelled value of a metric, read when the metrics are scraped. */
export interface MetricSample {
  labels: Record<string, string>;
  value: number;
}

/** Name, help text and labels of a metric. */
export interface MetricDefinition<L extends string> {
  help: string;
  labels: readonly L[];
  /** Name with its unit, for example `sequoiaquay_state_age_seconds`. */
  name: string;
}

/** Metrics registry of one process, exposed in the Prometheus text format. */
export class Metrics {
  readonly #registry = new Registry();

  /** Creates a counter that the caller increments. */
  createCounter<L extends string>(shape: MetricDefinition<L>): Counter<L> {
    return new Counter({
      help: shape.help,
      labelNames: shape.labels,
      name: shape.name,
      registers: [this.#registry],
    });
  }

  /** Registers a counter whose values are read from `read` at each scrape. */
  registerCounter(shape: MetricDefinition<string>, read: () => MetricSample[]): void {
    new Counter({
      collect() {
        this.reset();
        for (const sample of read()) {
          this.inc(sample.labels, sample.value);
        }
      },
      help: shape.help,
      labelNames: shape.labels,
      name: shape.name,
      registers: [this.#registry],
    });
  }

  /** Registers a gauge whose values are read from `read` at each scrape. */
  registerGauge(shape: MetricDefinition<string>, read: () => MetricSample[]): void {
    new Gauge({
      collect() {
        this.reset();
        for (const sample of read()) {
          this.set(sample.labels, sample.value);
        }
      },
      help: shape.help,
      labelNames: shape.labels,
      name: shape.name,
      registers: [this.#registry],
    });
  }

  /** Returns all metrics in the Prometheus text format. */
  renderText(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves `GET /metrics`. */
  mount<E extends Env>(app: Hono<E>): void {
    app.get('/metrics', async (c) =>
      c.text(await this.renderText(), 200, { 'content-type': this.#registry.contentType }),
    );
  }
}

/** Returns the only sample of a metric without labels, or no sample while the value is undefined. */
export function singleSample(value: number | undefined): MetricSample[] {
  return value === undefined ? [] : [{ labels: {}, value }];
}
