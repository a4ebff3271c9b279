import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { Metrics } from '@sequoiaquay/runtime';
import { publishAppenders, publishFleetState } from '@sequoiaquay/platform';
import { single } from '@sequoiaquay/runtime';
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
  publishAppenders(metrics, deps.appenders);
  publishFleetState(metrics, deps.replica);
}

function publishWork(metrics: Metrics, deps: EntryMetricsDependencies): void {
  metrics.readGauge(
    {
      help: 'Requests that wait for a slot, by pool.',
      labels: ['pool'],
      name: 'sequoiaquay_queue_depth',
    },
    () => [...deps.queuedByPool()].map(([pool, value]) => ({ labels: { pool }, value })),
  );
  metrics.readGauge(
    { help: 'Grants and requests of this entry on all targets.', labels: [], name: 'sequoiaquay_in_flight' },
    () => single(deps.inFlight.total),
  );
  metrics.readGauge(
    { help: 'Idempotency keys remembered.', labels: [], name: 'sequoiaquay_claimed_keys' },
    () => single(deps.work.claims.size),
  );
}
