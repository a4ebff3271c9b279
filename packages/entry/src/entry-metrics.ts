import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { Metrics } from '@sequoiaquay/runtime';
import { publishAppenderMetrics, publishFleetStateMetrics } from '@sequoiaquay/platform';
import { singleSample } from '@sequoiaquay/runtime';
import type { InFlight } from './in-flight';
import type { WorkReplica } from './work-replica';

/** Components whose counts are published as metrics. */
export interface EntryMetricsDependencies {
  appenders: Record<'fleet' | 'work', BatchAppender>;
  inFlight: InFlight;
  /** Returns the number of requests waiting for a slot, by pool. */
  queuedByPool: () => ReadonlyMap<string, number>;
  replica: FleetReplica;
  work: WorkReplica;
}

/** Publishes the counts of the components of an entry as metrics. */
export function publishEntryMetrics(metrics: Metrics, deps: EntryMetricsDependencies): void {
  publishWork(metrics, deps);
  publishAppenderMetrics(metrics, deps.appenders);
  publishFleetStateMetrics(metrics, deps.replica);
}

function publishWork(metrics: Metrics, deps: EntryMetricsDependencies): void {
  metrics.registerGauge(
    {
      help: 'Requests that wait for a slot, by pool.',
      labels: ['pool'],
      name: 'sequoiaquay_queue_depth',
    },
    () => [...deps.queuedByPool()].map(([pool, value]) => ({ labels: { pool }, value })),
  );
  metrics.registerGauge(
    { help: 'Grants and requests of this entry on all targets.', labels: [], name: 'sequoiaquay_in_flight' },
    () => singleSample(deps.inFlight.total),
  );
  metrics.registerGauge(
    { help: 'Idempotency keys remembered.', labels: [], name: 'sequoiaquay_claimed_keys' },
    () => singleSample(deps.work.claims.size),
  );
}
