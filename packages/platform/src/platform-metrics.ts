import type { Metrics } from '@sequoiaquay/runtime';
import { singleSample } from '@sequoiaquay/runtime';
import type { BatchAppender } from './batch-appender';
import type { FleetReplica } from './fleet-replica';

/** Registers the metrics of batch appenders, labelled by the name of their stream. */
export function publishAppenderMetrics(metrics: Metrics, appenders: Record<string, BatchAppender>): void {
  const read = (getValue: (appender: BatchAppender) => number) => () =>
    Object.entries(appenders).map(([stream, appender]) => ({
      labels: { stream },
      value: getValue(appender),
    }));
  metrics.registerCounter(
    { help: 'Appends that the log took.', labels: ['stream'], name: 'sequoiaquay_log_appends_total' },
    read((appender) => appender.counters.appends),
  );
  metrics.registerCounter(
    {
      help: 'Appends that failed or whose answer was lost; each is repeated.',
      labels: ['stream'],
      name: 'sequoiaquay_log_append_failures_total',
    },
    read((appender) => appender.counters.failures),
  );
  metrics.registerCounter(
    { help: 'Records that the log took.', labels: ['stream'], name: 'sequoiaquay_log_records_total' },
    read((appender) => appender.counters.records),
  );
  metrics.registerGauge(
    {
      help: 'Records that the log has not taken yet.',
      labels: ['stream'],
      name: 'sequoiaquay_log_pending_records',
    },
    read((appender) => appender.pending),
  );
}

/** Registers the metrics for the age and offset of a replica of the fleet state. */
export function publishFleetStateMetrics(metrics: Metrics, replica: FleetReplica): void {
  metrics.registerGauge(
    {
      help: 'Time since a source of fleet state last answered.',
      labels: [],
      name: 'sequoiaquay_state_age_seconds',
    },
    () => singleSample(replica.ageMs === undefined ? undefined : replica.ageMs / 1000),
  );
  metrics.registerGauge(
    { help: 'Offset of the next fleet record to apply.', labels: [], name: 'sequoiaquay_fleet_offset' },
    () => singleSample(replica.state.next),
  );
}
