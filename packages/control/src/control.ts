import type { FleetSource, MemberIdentity } from '@sequoiaquay/platform';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import {
  BatchAppender,
  FleetReplica,
  LogClient,
  logFleetChanges,
  LogFleetSource,
  MemberJoiner,
  PlatformHttpClient,
  publishAppenderMetrics,
  publishFleetStateMetrics,
  recordFleetEvents,
  STREAM,
  VmClient,
} from '@sequoiaquay/platform';
import { closeServer, EventRing, listen, Metrics, mountRpc } from '@sequoiaquay/runtime';
import { Hono } from 'hono';
import type { ControlSettings } from './control-settings';
import { createControlRouter } from './control-router';
import { ControlSource } from './control-source';
import { Journal } from './journal';
import { createOperatorApi } from './operator-api';
import { RpcPeers } from './operator-peers';
import { Proposer } from './proposer';
import { Relay } from './relay';
import { SettingsHistory } from './settings-history';
import { SnapshotWriter } from './snapshot-writer';
import { VmWatcher } from './vm-watcher';

const APPENDER_SETTINGS = { batchMs: 5, maxBatch: 500, retryMaxMs: 1000, retryMinMs: 50 };
const REPLICA_SETTINGS = { maxSourceAgeMs: 1500, preferredMs: 500, retryMs: 200, waitMs: 500 };
const SNAPSHOT_CHECK_INTERVAL_MS = 250;

/** Number of timeline events kept in memory. */
const EVENT_RING_CAPACITY = 10_000;

/** Runs a control process; resolves when the signal has aborted and its server and connections are closed. */
export async function runControl(
  cfg: ControlSettings,
  secret: string,
  log: Logger,
  timers: TimerService,
  signal: AbortSignal,
): Promise<void> {
  const http = new PlatformHttpClient({ ...cfg.platform, secret });
  const logClient = new LogClient(http);
  const ring = new EventRing(cfg.name, EVENT_RING_CAPACITY, timers);
  const sources: FleetSource[] = [
    new LogFleetSource(logClient),
    ...cfg.peers.map((peer) => new ControlSource(peer, secret, ring)),
  ];
  const replica = new FleetReplica(() => sources, REPLICA_SETTINGS, timers);
  const relay = new Relay(replica, signal);
  const appender = new BatchAppender(logClient, STREAM.fleet, APPENDER_SETTINGS, timers, signal);
  const proposer = new Proposer(appender, replica, timers, cfg.name);
  const journal = new Journal();
  const history = new SettingsHistory();
  replica.subscribe((entry, result) => {
    history.add(entry, result);
    journal.add(entry, result, replica.state);
  }, signal);
  recordFleetEvents(replica, ring, signal);
  const watcher = new VmWatcher(
    new VmClient(http),
    replica,
    proposer,
    { name: cfg.name, pollMs: cfg.vmListPollMs },
    timers,
  );
  const snapshots = new SnapshotWriter(
    replica,
    proposer,
    {
      checkIntervalMs: SNAPSHOT_CHECK_INTERVAL_MS,
      member: cfg.name,
      retentionMs: cfg.retentionMs,
      retentionRecords: cfg.retentionRecords,
    },
    timers,
  );
  const identity: MemberIdentity = {
    address: cfg.listen,
    incarnation: timers.now(),
    member: cfg.name,
    role: 'control',
    vm: cfg.vm,
    zone: cfg.zone,
  };
  const joiner = new MemberJoiner(identity, replica, appender, timers);

  const app = new Hono();
  app.get('/healthz', (c) => c.json({ ok: true }));
  app.get('/readyz', (c) =>
    c.json(
      { next: replica.state.next, ready: replica.caughtUp, stateAgeMs: replica.ageMs ?? null },
      replica.caughtUp ? 200 : 503,
    ),
  );
  const metrics = new Metrics();
  publishAppenderMetrics(metrics, { fleet: appender });
  publishFleetStateMetrics(metrics, replica);
  metrics.mount(app);
  logFleetChanges({ log, logClient, replica, timers }, signal);
  mountRpc(app, createControlRouter({ relay, replica, ring }), secret, ring);
  const operatorApi = createOperatorApi({
    history,
    isLogReachable: () => logClient.reachable,
    journal,
    name: cfg.name,
    peers: new RpcPeers(replica, cfg.peers, secret, ring),
    proposer,
    replica,
    ring,
    teamTokens: cfg.teamTokens,
  });
  app.route('/v1', operatorApi as unknown as Hono);
  const server = await listen(app, cfg.listen);
  log.info({ listen: cfg.listen }, 'control process started');
  watcher.start(signal);
  snapshots.start(signal);
  joiner.start(signal);
  await replica.run(signal);
  await closeServer(server);
  await http.close();
  log.info('control process stopped');
}
