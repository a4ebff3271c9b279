import type { PoolUse, RackStart, WorkspaceLoad } from '@sequoiaquay/core/jobs';
import type { Metrics, MetricSample } from '@sequoiaquay/runtime';
import { LatencyHistograms, singleSample } from '@sequoiaquay/runtime';
import { OrdersInFlight } from './orders-in-flight';

/** Kinds of traffic of a node; the traffic of a stream of the store has the name of the stream. */
export const TRAFFIC = {
  callers: 'callers',
  workerOrders: 'worker-orders',
  workerReports: 'worker-reports',
} as const;

/** Bytes that were sent and received. */
export interface TrafficTotals {
  received: number;
  sent: number;
}

/** Records the bytes of bodies that were sent and received; headers are not included. */
export type TrafficRecorder = (kind: string, direction: keyof TrafficTotals, bytes: number) => void;

/** Values that are read each time the metrics are scraped. */
export interface NodeGauges {
  /** Version of the configuration in force; undefined until there is one. */
  cfgVersion: () => number | undefined;
  /** Number of jobs in the job table. */
  jobsKnown: () => number;
  /** Number of log lines that were dropped since the process started. */
  linesDropped: () => number;
  /** Fencing token of the node's term; undefined while it is not the leader. */
  ownEpoch: () => number | undefined;
  /** Use of the pools' capacity; empty while the node does not lead. */
  poolUses: () => readonly PoolUse[];
  /** Age of the job table, in ms. */
  stateAgeMs: () => number;
  /** Bytes of the jobs that are being stored. */
  submissionBytes: () => number;
  /** Number of waiting jobs by queue. */
  waiting: () => ReadonlyMap<string, number>;
  /** Number of records of other nodes that wait on this node as leader. */
  waitingPeerRecords: () => number;
  /** Number of tasks by pool that wait although it has room for them; empty while the node does not lead. */
  waitingWithRoom: () => ReadonlyMap<string, number>;
  /** Number of ids of unknown jobs that were cancelled. */
  withdrawnIds: () => number;
  /** Use, maximum and waiting tasks of the workspaces; empty while the node does not lead. */
  workspaceLoads: () => readonly WorkspaceLoad[];
}

const MILLI_PER_CORE = 1000;

interface LabelledCount {
  labels: Record<string, string>;
  value: number;
}

/** Counter with one value for each combination of label values. */
class LabelledCounter {
  readonly #counts = new Map<string, LabelledCount>();

  increment(labels: Record<string, string>, by = 1): void {
    const key = Object.values(labels).join('\n');
    const count = this.#counts.get(key);
    if (count === undefined) {
      this.#counts.set(key, { labels, value: by });
    } else {
      count.value += by;
    }
  }

  samples(): MetricSample[] {
    return [...this.#counts.values()];
  }
}

/** Counters and histograms of a node. */
export class NodeMetrics {
  /** Start orders of this node as leader that have no answer. */
  readonly orders = new OrdersInFlight();
  #clockRefreshes = 0;
  readonly #decisions = new LabelledCounter();
  readonly #eventLoopDelays = new LatencyHistograms();
  readonly #forwardTimes = new LatencyHistograms();
  readonly #notRun = new LabelledCounter();
  readonly #orderTimes = new LatencyHistograms();
  readonly #requestTimes = new LatencyHistograms();
  readonly #requests = new LabelledCounter();
  readonly #storeCalls = new LabelledCounter();
  readonly #storeTimes = new LatencyHistograms();
  readonly #firstRunWaits = new LatencyHistograms();
  readonly #rackStarts = new LabelledCounter();
  readonly #rackWaits = new LatencyHistograms();
  readonly #traffic = new LabelledCounter();
  readonly #trafficTotals: TrafficTotals = { received: 0, sent: 0 };
  readonly #writes = new LabelledCounter();

  /** Records the bytes of bodies that were sent or received; headers are not included. */
  readonly recordTraffic: TrafficRecorder = (kind, direction, bytes) => {
    this.#traffic.increment({ direction, kind }, bytes);
    this.#trafficTotals[direction] += bytes;
  };

  /** Returns the bytes of all kinds of traffic since the process started. */
  trafficTotals(): TrafficTotals {
    return { ...this.#trafficTotals };
  }

  /** Records how late the event loop ran a timer, in ms. */
  recordEventLoopDelay(delayMs: number): void {
    this.#eventLoopDelays.record({}, delayMs);
  }

  /** Removes a start order from those in flight and records the time from its plan to its answer. */
  recordOrderAnswer(id: number, now: number): void {
    this.#orderTimes.record({}, this.orders.remove(id, now));
  }

  /** Counts a decision of the leader by the end, answer, state or reason in its data. */
  recordDecision(decision: string, data: Record<string, unknown>): void {
    const detail = data.end ?? data.answer ?? data.state ?? data.reason ?? '';
    this.#decisions.increment({ decision, detail: typeof detail === 'string' ? detail : '' });
  }

  /** Counts a request for the clock of a worker, made before an order. */
  recordClockRefresh(): void {
    this.#clockRefreshes += 1;
  }

  /** Records the answer to a caller's request and its latency, in ms. */
  recordRequest(call: string, answer: string, latencyMs: number): void {
    this.#requests.increment({ answer, call });
    this.#requestTimes.record({ call }, latencyMs);
  }

  /** Counts a request that was not run, by the reason that its caller was told. */
  recordNotRun(reason: string): void {
    this.#notRun.increment({ reason });
  }

  /** Records a call to the store and its latency, in ms; for reads that includes the wait for a record. */
  recordStoreCall(stream: string, call: string, outcome: string, latencyMs: number): void {
    this.#storeCalls.increment({ call, outcome, stream });
    this.#storeTimes.record({ call, stream }, latencyMs);
  }

  /** Records the time of a call that forwarded records to the leader, in ms. */
  recordForward(outcome: string, durationMs: number): void {
    this.#forwardTimes.record({ outcome }, durationMs);
  }

  /** Counts a written record by the path on which its outcome was decided. */
  recordWrite(path: string, outcome: string): void {
    this.#writes.increment({ outcome, path });
  }

  /** Records the time between the acceptance of a job and the start of its first run, in ms. */
  recordFirstRun(queue: string, waitedMs: number): void {
    this.#firstRunWaits.record({ queue }, waitedMs);
  }

  /** Records where a task starts that is faster in one rack; undefined for other tasks. */
  recordRackStart(start: RackStart | undefined): void {
    if (start === undefined) {
      return;
    }
    const { cause, place, waitedMs } = start;
    this.#rackStarts.increment({ cause, place });
    if (waitedMs > 0) {
      this.#rackWaits.record({ place }, waitedMs);
    }
  }

  /** Registers all metrics of the node. */
  publish(metrics: Metrics, gauges: NodeGauges): void {
    this.#publishCounters(metrics);
    this.#publishClockRefreshes(metrics);
    this.#publishLatencies(metrics);
    publishGauges(metrics, gauges);
  }

  #publishCounters(metrics: Metrics): void {
    const requests = { help: 'Requests of callers by call and answer', labels: ['call', 'answer'] };
    metrics.registerCounter({ ...requests, name: 'sequoiaquay_requests_total' }, () =>
      this.#requests.samples(),
    );
    const calls = { help: 'Calls to the store by outcome', labels: ['stream', 'call', 'outcome'] };
    metrics.registerCounter({ ...calls, name: 'sequoiaquay_store_calls_total' }, () =>
      this.#storeCalls.samples(),
    );
    const notRun = { help: 'Requests of callers that were not run', labels: ['reason'] };
    metrics.registerCounter({ ...notRun, name: 'sequoiaquay_requests_not_run_total' }, () =>
      this.#notRun.samples(),
    );
    const decisions = { help: 'Decisions of the leader', labels: ['decision', 'detail'] };
    metrics.registerCounter({ ...decisions, name: 'sequoiaquay_decisions_total' }, () =>
      this.#decisions.samples(),
    );
    const starts = { help: 'Starts of tasks that are faster in one rack', labels: ['cause', 'place'] };
    metrics.registerCounter({ ...starts, name: 'sequoiaquay_rack_starts_total' }, () =>
      this.#rackStarts.samples(),
    );
    const traffic = { help: 'Bytes of bodies by kind of traffic', labels: ['kind', 'direction'] };
    metrics.registerCounter({ ...traffic, name: 'sequoiaquay_traffic_bytes_total' }, () =>
      this.#traffic.samples(),
    );
    const writes = { help: 'Records of jobs by path and outcome', labels: ['path', 'outcome'] };
    metrics.registerCounter({ ...writes, name: 'sequoiaquay_written_records_total' }, () =>
      this.#writes.samples(),
    );
  }

  #publishClockRefreshes(metrics: Metrics): void {
    const help = 'Requests for the clock of an idle worker before an order to it';
    metrics.registerCounter({ help, labels: [], name: 'sequoiaquay_clock_refreshes_total' }, () =>
      singleSample(this.#clockRefreshes),
    );
  }

  #publishLatencies(metrics: Metrics): void {
    const request = { help: 'Time to answer a request', labels: ['call', 'quantile'] };
    metrics.registerGauge({ ...request, name: 'sequoiaquay_request_seconds' }, () =>
      this.#requestTimes.quantiles(),
    );
    const store = { help: 'Time of calls to the store', labels: ['stream', 'call', 'quantile'] };
    metrics.registerGauge({ ...store, name: 'sequoiaquay_store_call_seconds' }, () =>
      this.#storeTimes.quantiles(),
    );
    const wait = { help: 'Time from acceptance to the first run of a job', labels: ['queue', 'quantile'] };
    metrics.registerGauge({ ...wait, name: 'sequoiaquay_first_run_wait_seconds' }, () =>
      this.#firstRunWaits.quantiles(),
    );
    const rack = { help: 'Time for which tasks waited for their rack', labels: ['place', 'quantile'] };
    metrics.registerGauge({ ...rack, name: 'sequoiaquay_rack_wait_seconds' }, () =>
      this.#rackWaits.quantiles(),
    );
    const delay = { help: 'Delay of timers by a busy event loop', labels: ['quantile'] };
    metrics.registerGauge({ ...delay, name: 'sequoiaquay_event_loop_delay_seconds' }, () =>
      this.#eventLoopDelays.quantiles(),
    );
    const forward = { help: 'Time to forward records to the leader', labels: ['outcome', 'quantile'] };
    metrics.registerGauge({ ...forward, name: 'sequoiaquay_forward_seconds' }, () =>
      this.#forwardTimes.quantiles(),
    );
    const order = { help: 'Time from the plan of a start order to its answer', labels: ['quantile'] };
    metrics.registerGauge({ ...order, name: 'sequoiaquay_start_order_seconds' }, () =>
      this.#orderTimes.quantiles(),
    );
    metrics.registerGauge(
      { help: 'Start orders without an answer', labels: [], name: 'sequoiaquay_start_orders_in_flight' },
      () => singleSample(this.orders.count),
    );
  }
}

function publishGauges(metrics: Metrics, values: NodeGauges): void {
  const gauge = (name: string, help: string, read: () => number | undefined): void => {
    metrics.registerGauge({ help, labels: [], name: `sequoiaquay_${name}` }, () => singleSample(read()));
  };
  gauge('config_version', 'Version of the configuration in force; 0 before the first', values.cfgVersion);
  gauge('jobs_known', 'Jobs that the node knows', values.jobsKnown);
  gauge('log_lines_dropped', 'Log lines left out since the start', values.linesDropped);
  gauge('withdrawn_ids', 'Ids of unknown jobs whose cancellation is kept', values.withdrawnIds);
  gauge('leader_epoch', 'Term that the node leads; 0 while it does not lead', values.ownEpoch);
  gauge('state_age_seconds', 'Age of what the node knows of the jobs', () => values.stateAgeMs() / 1000);
  gauge('peer_records_waiting', 'Records of other nodes that wait on the leader', values.waitingPeerRecords);
  gauge('submission_bytes', 'Bytes of the jobs that are being stored for callers', values.submissionBytes);
  publishPoolGauges(metrics, values);
  publishWorkspaceGauges(metrics, values);
  metrics.registerGauge(
    { help: 'Jobs without a started task', labels: ['queue'], name: 'sequoiaquay_jobs_waiting' },
    () => [...values.waiting()].map(([queue, value]) => ({ labels: { queue }, value })),
  );
}

function publishPoolGauges(metrics: Metrics, { poolUses, waitingWithRoom }: NodeGauges): void {
  const gauge = (name: string, help: string, read: (use: PoolUse) => number): void => {
    metrics.registerGauge({ help, labels: ['pool'], name: `sequoiaquay_pool_${name}` }, () =>
      poolUses().map((use) => ({ labels: { pool: use.pool }, value: read(use) })),
    );
  };
  gauge('workers', 'Workers in a pool, on the leader', (use) => use.workers);
  gauge('workers_in_use', 'Workers in a pool with assigned tasks, on the leader', (use) => use.workersInUse);
  gauge('held_cores', 'Cores of the workers in a pool, on the leader', toCores('heldCpuMilli'));
  gauge('reserved_cores', 'Cores that tasks in a pool reserve, on the leader', toCores('reservedCpuMilli'));
  metrics.registerGauge(
    {
      help: 'Tasks that wait although their pool has room for them, on the leader',
      labels: ['pool'],
      name: 'sequoiaquay_tasks_waiting_with_room',
    },
    () => [...waitingWithRoom()].map(([pool, value]) => ({ labels: { pool }, value })),
  );
}

function publishWorkspaceGauges(metrics: Metrics, { workspaceLoads }: NodeGauges): void {
  const gauge = (name: string, help: string, read: (load: WorkspaceLoad) => number): void => {
    metrics.registerGauge({ help, labels: ['workspace'], name: `sequoiaquay_workspace_${name}` }, () =>
      workspaceLoads().map((load) => ({ labels: { workspace: load.workspace }, value: read(load) })),
    );
  };
  const reserved = 'Cores that tasks of a workspace reserve, on the leader';
  gauge('reserved_cores', reserved, (load) => load.reservedCpuMilli / MILLI_PER_CORE);
  const maximum = 'Most cores that tasks of a workspace may reserve, on the leader; 0 means no limit';
  gauge('maximum_cores', maximum, (load) => load.maximumCpuMilli / MILLI_PER_CORE);
  gauge('waiting_tasks', 'Waiting tasks of a workspace, on the leader', (load) => load.waitingTasks);
}

function toCores(field: 'heldCpuMilli' | 'reservedCpuMilli'): (use: PoolUse) => number {
  return (use) => use[field] / MILLI_PER_CORE;
}
