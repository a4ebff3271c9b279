import type { Env, Hono } from 'hono';
import { Counter, Gauge, Registry } from 'prom-client';

/** One value of a metric that is read when the metrics are asked for. */
export interface MetricSample {
  labels: Record<string, string>;
  value: number;
}

/** Name, help text and labels of a metric. */
export interface MetricShape<L extends string> {
  help: string;
  labels: readonly L[];
  /** Name with its unit, for example `sequoiaquay_state_age_seconds`. */
  name: string;
}

/** Metrics of one process, in the Prometheus text format. */
export class Metrics {
  readonly #registry = new Registry();

  /** Creates a counter that the caller increments. */
  counter<L extends string>(shape: MetricShape<L>): Counter<L> {
    return new Counter({
      help: shape.help,
      labelNames: shape.labels,
      name: shape.name,
      registers: [this.#registry],
    });
  }

  /** Publishes counts that another part keeps. */
  readCounter(shape: MetricShape<string>, read: () => MetricSample[]): void {
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

  /** Publishes values that go up and down. */
  readGauge(shape: MetricShape<string>, read: () => MetricSample[]): void {
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

  /** All metrics as Prometheus text. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves `GET /metrics`. */
  mount<E extends Env>(app: Hono<E>): void {
    app.get('/metrics', async (c) =>
      c.text(await this.text(), 200, { 'content-type': this.#registry.contentType }),
    );
  }
}

/** A metric with one value and no labels; no value while it is not known. */
export function single(value: number | undefined): MetricSample[] {
  return value === undefined ? [] : [{ labels: {}, value }];
}
