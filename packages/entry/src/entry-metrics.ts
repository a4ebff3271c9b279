import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { Metrics } from '@sequoiaquay/runtime';
import { publishAppenderMetrics, publishFleetStateMetrics } from '@sequoiaquay/platform';
import { singleSample } from '@sequoiaquay/runtime';
import type { InFlight } from './in-flight';
import type { WorkReplica } from './work-replica';

/** Parts of an entry whose own counts are published. */
export interface EntryMetricsParts {
  appenders: Record<'fleet' | 'work', BatchAppender>;
  inFlight: InFlight;
  /** Requests that wait for a slot, by pool. */
  queued: () => ReadonlyMap<string, number>;
  replica: FleetReplica;
  work: WorkReplica;
}

/** Publishes the counts that the parts of an entry keep themselves. */
export function publishEntryMetrics(metrics: Metrics, parts: EntryMetricsParts): void {
  publishWork(metrics, parts);
  publishAppenderMetrics(metrics, parts.appenders);
  publishFleetStateMetrics(metrics, parts.replica);
}

function publishWork(metrics: Metrics, parts: EntryMetricsParts): void {
  metrics.registerGauge(
    {
      help: 'Requests that wait for a slot, by pool.',
      labels: ['pool'],
      name: 'sequoiaquay_queue_depth',
    },
    () => [...parts.queued()].map(([pool, value]) => ({ labels: { pool }, value })),
  );
  metrics.registerGauge(
    { help: 'Grants and requests of this entry on all targets.', labels: [], name: 'sequoiaquay_in_flight' },
    () => singleSample(parts.inFlight.total),
  );
  metrics.registerGauge(
    { help: 'Idempotency keys remembered.', labels: [], name: 'sequoiaquay_claimed_keys' },
    () => singleSample(parts.work.claims.size),
  );
}
