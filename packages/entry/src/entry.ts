import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ControlSource } from '@sequoiaquay/control';
import {
  BatchAppender,
  FleetReplica,
  LogClient,
  logFleetChanges,
  PlatformHttp,
  recordFleetEvents,
  STREAM,
} from '@sequoiaquay/platform';
import { closeServer, EventRing, listen, Metrics, mountRpc } from '@sequoiaquay/runtime';
import { Hono } from 'hono';
import { randomUUID } from 'node:crypto';
import type { EntrySettings } from './entry-settings';
import { createCallerApi } from './caller-api';
import { ClaimService } from './claim-service';
import { ClearReporter } from './clear-reporter';
import { RequestDispatcher } from './dispatcher';
import { publishEntryMetrics } from './entry-metrics';
import { createEntryStatus } from './entry-status';
import { InFlight } from './in-flight';
import { LatencyHistograms } from './latency-histograms';
import { OwnShareGrants } from './own-share-grants';
import { createPeerRouter } from './peer-router';
import { RequestMeter } from './request-meter';
import { TargetClient } from './target-client';
import { WorkReplica } from './work-replica';

const BATCH = { batchMs: 5, maxBatch: 500, retryMaxMs: 1000, retryMinMs: 50 };
const REPLICA = { retryMs: 200, waitMs: 5000 };
const RING_CAPACITY = 10_000;
const TARGETS = { connections: 8, connectTimeoutMs: 1000 };

/** Runs an entry process until the signal aborts and its requests have ended. */
export async function runEntry(
  cfg: EntrySettings,
  secret: string,
  log: Logger,
  timers: TimerService,
  signal: AbortSignal,
): Promise<void> {
  // Background parts outlive the stop signal until the last request has ended.
  const background = new AbortController();
  const holder = { entry: cfg.name, incarnation: timers.now() };
  const http = new PlatformHttp({ ...cfg.platform, secret });
  const logClient = new LogClient(http);
  const ring = new EventRing(cfg.name, RING_CAPACITY, timers);
  const metrics = new Metrics();
  const meter = new RequestMeter(ring, new LatencyHistograms(), metrics);
  const sources = cfg.controls.map((address) => new ControlSource(address, secret, ring));
  const replica = new FleetReplica(() => sources, REPLICA, timers);
  const work = new WorkReplica(logClient, { ...REPLICA, keyWindowMs: cfg.keyWindowMs }, timers);
  const fleetAppender = new BatchAppender(logClient, STREAM.fleet, BATCH, timers, background.signal);
  const workAppender = new BatchAppender(logClient, STREAM.work, BATCH, timers, background.signal);
  const inFlight = new InFlight(() => {
    clear.check(background.signal);
  });
  const clear = new ClearReporter(replica, inFlight, fleetAppender, holder, timers);
  const targets = new TargetClient(TARGETS);
  const grants = new OwnShareGrants(replica, inFlight);
  const dispatcher = new RequestDispatcher({
    claims: new ClaimService(workAppender, work, holder, timers),
    grants,
    meter,
    replica,
    targets,
    timers,
  });
  const ready = (): boolean => replica.caughtUp && !signal.aborted;
  const app = createCallerApi({
    dispatcher,
    maxRequestBytes: cfg.maxRequestBytes,
    meter,
    ready,
    replica,
    timers,
  });
  const queued = (): Map<string, number> => grants.queued();
  publishEntryMetrics(metrics, {
    appenders: { fleet: fleetAppender, work: workAppender },
    inFlight,
    queued,
    replica,
    work,
  });
  metrics.mount(app);
  recordFleetEvents(replica, ring, background.signal);
  logFleetChanges({ log, logClient, replica, timers }, background.signal);
  const server = await listen(app, cfg.listen);
  const peerApp = new Hono();
  const status = createEntryStatus({ holder, inFlight, queued, replica });
  mountRpc(peerApp, createPeerRouter({ claims: work.claims, name: cfg.name, ring, status }), secret, ring);
  const peerServer = await listen(peerApp, cfg.peerListen);
  log.info({ listen: cfg.listen, peerListen: cfg.peerListen }, 'entry process started');
  fleetAppender.append(
    {
      address: cfg.peerListen,
      at: timers.now(),
      by: cfg.name,
      id: randomUUID(),
      incarnation: holder.incarnation,
      kind: 'member-join',
      member: cfg.name,
      role: 'entry',
      v: 1,
      vm: cfg.vm,
      zone: cfg.zone,
    },
    background.signal,
  );
  clear.start(background.signal);
  const running = [replica.run(background.signal), work.run(background.signal)];
  await stopped(signal);
  await closeServer(server);
  background.abort();
  await closeServer(peerServer);
  await Promise.all(running);
  await targets.close();
  await http.close();
  log.info('entry process stopped');
}

function stopped(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}
