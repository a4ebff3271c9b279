import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { Metrics } from '@sequoiaquay/runtime';
import { publishAppenders, publishFleetState } from '@sequoiaquay/platform';
import { single } from '@sequoiaquay/runtime';
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
  publishAppenders(metrics, parts.appenders);
  publishFleetState(metrics, parts.replica);
}

function publishWork(metrics: Metrics, parts: EntryMetricsParts): void {
  metrics.readGauge(
    {
      help: 'Requests that wait for a slot, by pool.',
      labels: ['pool'],
      name: 'sequoiaquay_queue_depth',
    },
    () => [...parts.queued()].map(([pool, value]) => ({ labels: { pool }, value })),
  );
  metrics.readGauge(
    { help: 'Grants and requests of this entry on all targets.', labels: [], name: 'sequoiaquay_in_flight' },
    () => single(parts.inFlight.total),
  );
  metrics.readGauge(
    { help: 'Idempotency keys remembered.', labels: [], name: 'sequoiaquay_claimed_keys' },
    () => single(parts.work.claims.size),
  );
}
