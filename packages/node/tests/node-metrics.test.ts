import { Metrics } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import { NodeMetrics } from '../src/node-metrics';

describe('NodeMetrics', () => {
  it('publishes the counters, latencies and gauges under their metric names and labels', async () => {
    const nodeMetrics = new NodeMetrics();
    const metrics = new Metrics();
    nodeMetrics.publish(metrics, {
      cfgVersion: () => 7,
      jobsKnown: () => 3,
      linesDropped: () => 2,
      ownEpoch: () => undefined,
      poolUses: () => [
        { heldCpuMilli: 32_000, pool: 'p', reservedCpuMilli: 1500, workers: 2, workersInUse: 1 },
      ],
      waitingPeerRecords: () => 0,
      stateAgeMs: () => 1500,
      submissionBytes: () => 17_000,
      waiting: () => new Map([['quick', 4]]),
      waitingWithRoom: () => new Map([['p', 5]]),
      withdrawnIds: () => 6,
      workspaceLoads: () => [
        { maximumCpuMilli: 64_000, reservedCpuMilli: 2500, waitingTasks: 3, workspace: 'bc-rail' },
      ],
    });
    nodeMetrics.recordRequest('submit', 'not-run', 12);
    nodeMetrics.recordNotRun('submissions-full');
    nodeMetrics.recordStoreCall('jobs', 'append', 'lost', 400);
    nodeMetrics.recordDecision('run-ended', { end: 'failed' });
    nodeMetrics.recordFirstRun('quick', 250);
    nodeMetrics.recordTraffic('worker-orders', 'sent', 1200);
    nodeMetrics.recordTraffic('worker-orders', 'sent', 300);
    nodeMetrics.recordTraffic('keyed.jobs', 'received', 1000);
    nodeMetrics.recordTraffic('keyed.jobs', 'received', 500);
    nodeMetrics.recordTraffic('keyed.jobs', 'sent', 50);
    nodeMetrics.recordEventLoopDelay(20);
    nodeMetrics.recordRackStart({ cause: 'at-once', place: 'near', waitedMs: 0 });
    nodeMetrics.recordRackStart({ cause: 'waited', place: 'near', waitedMs: 400 });
    nodeMetrics.recordRackStart({ cause: 'limit', place: 'far', waitedMs: 1400 });
    nodeMetrics.recordRackStart(undefined);
    nodeMetrics.recordClockRefresh();
    nodeMetrics.orders.add(1000);
    nodeMetrics.recordOrderAnswer(nodeMetrics.orders.add(1000), 1300);
    const text = await metrics.renderText();
    expect(text).toContain('sequoiaquay_requests_total{answer="not-run",call="submit"} 1');
    expect(text).toContain('sequoiaquay_requests_not_run_total{reason="submissions-full"} 1');
    expect(text).toContain('sequoiaquay_submission_bytes 17000');
    expect(text).toContain('sequoiaquay_store_calls_total{call="append",outcome="lost",stream="jobs"} 1');
    expect(text).toContain('sequoiaquay_decisions_total{decision="run-ended",detail="failed"} 1');
    expect(text).toContain('sequoiaquay_first_run_wait_seconds{queue="quick",quantile="0.5"} 0.25');
    expect(text).toContain('sequoiaquay_clock_refreshes_total 1');
    expect(text).toContain('sequoiaquay_config_version 7');
    expect(text).toContain('sequoiaquay_withdrawn_ids 6');
    expect(text).toContain('sequoiaquay_workspace_reserved_cores{workspace="bc-rail"} 2.5');
    expect(text).toContain('sequoiaquay_workspace_maximum_cores{workspace="bc-rail"} 64');
    expect(text).toContain('sequoiaquay_workspace_waiting_tasks{workspace="bc-rail"} 3');
    expect(text).toContain('sequoiaquay_state_age_seconds 1.5');
    expect(text).toContain('sequoiaquay_log_lines_dropped 2');
    expect(text).toContain('sequoiaquay_jobs_waiting{queue="quick"} 4');
    expect(text).toContain('sequoiaquay_pool_workers{pool="p"} 2');
    expect(text).toContain('sequoiaquay_pool_workers_in_use{pool="p"} 1');
    expect(text).toContain('sequoiaquay_pool_held_cores{pool="p"} 32');
    expect(text).toContain('sequoiaquay_pool_reserved_cores{pool="p"} 1.5');
    expect(text).toContain('sequoiaquay_tasks_waiting_with_room{pool="p"} 5');
    expect(text).toContain('sequoiaquay_traffic_bytes_total{direction="sent",kind="worker-orders"} 1500');
    expect(text).toContain('sequoiaquay_traffic_bytes_total{direction="received",kind="keyed.jobs"} 1500');
    expect(text).toContain('sequoiaquay_traffic_bytes_total{direction="sent",kind="keyed.jobs"} 50');
    expect(text).toContain('sequoiaquay_event_loop_delay_seconds{quantile="0.5"} 0.02');
    expect(text).toContain('sequoiaquay_start_order_seconds{quantile="0.5"} 0.3');
    expect(text).toContain('sequoiaquay_start_orders_in_flight 1');
    expect(text).toContain('sequoiaquay_rack_starts_total{cause="at-once",place="near"} 1');
    expect(text).toContain('sequoiaquay_rack_starts_total{cause="limit",place="far"} 1');
    expect(text).toContain('sequoiaquay_rack_wait_seconds{place="near",quantile="0.5"} 0.4');
    expect(text).toContain('sequoiaquay_rack_wait_seconds{place="far",quantile="0.5"} 1.4');
    expect(nodeMetrics.trafficTotals()).toEqual({ received: 1500, sent: 1550 });
    expect(text).toContain('\nsequoiaquay_leader_epoch 0\n');
  });
});
