import type { Metrics, MetricSample } from '@sequoiaquay/runtime';
import { LatencyHistograms, single } from '@sequoiaquay/runtime';

/** Values of a node that are read when the metrics are asked for. */
export interface NodeValues {
  /** Version of the configuration in force; undefined before the first. */
  cfgVersion: () => number | undefined;
  jobsKnown: () => number;
  linesDropped: () => number;
  /** Fencing token of the term that the node leads; undefined while it does not lead. */
  ownEpoch: () => number | undefined;
  /** Age of what the node knows of the jobs, in ms. */
  stateAgeMs: () => number;
  /** Jobs that wait, by queue. */
  waiting: () => ReadonlyMap<string, number>;
}

interface Counted {
  labels: Record<string, string>;
  value: number;
}

/** Counters that are kept by their labels. */
class Counts {
  readonly #counted = new Map<string, Counted>();

  add(labels: Record<string, string>): void {
    const key = Object.values(labels).join('\n');
    const known = this.#counted.get(key);
    if (known === undefined) {
      this.#counted.set(key, { labels, value: 1 });
    } else {
      known.value += 1;
    }
  }

  samples(): MetricSample[] {
    return [...this.#counted.values()];
  }
}

/** Counters and histograms of a node. */
export class NodeMetrics {
  readonly #decisions = new Counts();
  readonly #requestTimes = new LatencyHistograms();
  readonly #requests = new Counts();
  readonly #storeCalls = new Counts();
  readonly #storeTimes = new LatencyHistograms();
  readonly #waits = new LatencyHistograms();

  /** Takes a decision of the leader, with the end, answer, state or reason that it is about. */
  onDecision(decision: string, data: Record<string, unknown>): void {
    const detail = data.end ?? data.answer ?? data.state ?? data.reason ?? '';
    this.#decisions.add({ decision, detail: typeof detail === 'string' ? detail : '' });
  }

  /** Takes the answer to a caller's request and the time that it took, in ms. */
  onRequest(call: string, answer: string, tookMs: number): void {
    this.#requests.add({ answer, call });
    this.#requestTimes.record({ call }, tookMs);
  }

  /** Takes a call to the store and the time that it took, in ms; reads include the time of waiting. */
  onStoreCall(stream: string, call: string, outcome: string, tookMs: number): void {
    this.#storeCalls.add({ call, outcome, stream });
    this.#storeTimes.record({ call, stream }, tookMs);
  }

  /** Takes the time between the acceptance of a job and its first run, in ms. */
  onFirstRun(queue: string, waitedMs: number): void {
    this.#waits.record({ queue }, waitedMs);
  }

  /** Publishes all metrics. */
  publish(metrics: Metrics, values: NodeValues): void {
    this.#publishCounts(metrics);
    this.#publishTimes(metrics);
    publishValues(metrics, values);
  }

  #publishCounts(metrics: Metrics): void {
    const requests = { help: 'Requests of callers by call and answer', labels: ['call', 'answer'] };
    metrics.readCounter({ ...requests, name: 'sequoiaquay_requests_total' }, () => this.#requests.samples());
    const calls = { help: 'Calls to the store by outcome', labels: ['stream', 'call', 'outcome'] };
    metrics.readCounter({ ...calls, name: 'sequoiaquay_store_calls_total' }, () =>
      this.#storeCalls.samples(),
    );
    const decisions = { help: 'Decisions of the leader', labels: ['decision', 'detail'] };
    metrics.readCounter({ ...decisions, name: 'sequoiaquay_decisions_total' }, () =>
      this.#decisions.samples(),
    );
  }

  #publishTimes(metrics: Metrics): void {
    const request = { help: 'Time to answer a request', labels: ['call', 'quantile'] };
    metrics.readGauge({ ...request, name: 'sequoiaquay_request_seconds' }, () =>
      this.#requestTimes.quantiles(),
    );
    const store = { help: 'Time of calls to the store', labels: ['stream', 'call', 'quantile'] };
    metrics.readGauge({ ...store, name: 'sequoiaquay_store_call_seconds' }, () =>
      this.#storeTimes.quantiles(),
    );
    const wait = { help: 'Time from acceptance to the first run of a job', labels: ['queue', 'quantile'] };
    metrics.readGauge({ ...wait, name: 'sequoiaquay_first_run_wait_seconds' }, () => this.#waits.quantiles());
  }
}

function publishValues(metrics: Metrics, values: NodeValues): void {
  const gauge = (name: string, help: string, read: () => number | undefined): void => {
    metrics.readGauge({ help, labels: [], name: `sequoiaquay_${name}` }, () => single(read()));
  };
  gauge('config_version', 'Version of the configuration in force; 0 before the first', values.cfgVersion);
  gauge('jobs_known', 'Jobs that the node knows', values.jobsKnown);
  gauge('log_lines_dropped', 'Log lines left out since the start', values.linesDropped);
  gauge('leader_epoch', 'Term that the node leads; 0 while it does not lead', values.ownEpoch);
  gauge('state_age_seconds', 'Age of what the node knows of the jobs', () => values.stateAgeMs() / 1000);
  metrics.readGauge(
    { help: 'Jobs without a started task', labels: ['queue'], name: 'sequoiaquay_jobs_waiting' },
    () => [...values.waiting()].map(([queue, value]) => ({ labels: { queue }, value })),
  );
}
