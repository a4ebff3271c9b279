import type { MemberIdentity } from '@sequoiaquay/platform';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ControlSource } from '@sequoiaquay/control';
import {
  BatchAppender,
  FleetReplica,
  LogClient,
  logFleetChanges,
  MemberJoiner,
  PlatformHttpClient,
  recordFleetEvents,
  STREAM,
  VmClient,
} from '@sequoiaquay/platform';
import { closeServer, createTimeoutSignal, EventRing, listen, Metrics, mountRpc } from '@sequoiaquay/runtime';
import { LatencyHistograms } from '@sequoiaquay/runtime';
import { Hono } from 'hono';
import { setMaxListeners } from 'node:events';
import type { EntrySettings } from './entry-settings';
import { ByteBudget } from './byte-budget';
import { createCallerApi } from './caller-api';
import { ClaimHolderClient } from './claim-holder-client';
import { ClaimLookup } from './claim-lookup';
import { ClaimService } from './claim-service';
import { ClearReporter } from './clear-reporter';
import { connectionsPerMember } from './connection-share';
import { RequestDispatcher } from './dispatcher';
import { EarlierClaimResolver } from './earlier-claim-resolver';
import { publishEntryMetrics } from './entry-metrics';
import { createEntryStatus } from './entry-status';
import { GracefulStop } from './graceful-stop';
import { InFlight } from './in-flight';
import { LeavingVms } from './leaving-vms';
import { LeavingWatch } from './leaving-watch';
import { JoinedMembers } from './live-members';
import { PauseGuard } from './pause-guard';
import { PeerClients } from './peer-clients';
import { createPeerRouter } from './peer-router';
import { createQueueing } from './queueing';
import { RequestMeter } from './request-meter';
import { ResultCache } from './result-cache';
import { TargetClient } from './target-client';
import { TargetHealth } from './target-health';
import { publishTasks } from './tasks/task-metrics';
import { startTasks } from './tasks/task-runtime';
import { WorkReplica } from './work-replica';

const BATCH_SETTINGS = { batchMs: 5, maxBatch: 500, retryMaxMs: 1000, retryMinMs: 50 };
const REPLICA_SETTINGS = { maxSourceAgeMs: 1500, preferredMs: 500, retryMs: 200, waitMs: 500 };
/** A lost response to a read delays every claim by `readWaitMs` plus the timeout of the call. */
const WORK_REPLICA_SETTINGS = { retryDelayMs: 200, readWaitMs: 1000 };
const EVENT_RING_CAPACITY = 10_000;
const PAUSE_GUARD_SETTINGS = { maxGapMs: 1000 };
/** Maximum size of the cached results of claimed requests, in bytes. */
const RESULT_CACHE_BYTES = 32 * 1_048_576;
/** Maximum claim and outcome records that are pending for the log. */
const MAX_PENDING_RECORDS = 5000;
const REFRESH_TIMEOUT_MS = 4000;
const TARGET_CLIENT_SETTINGS = { maxConnections: 8, connectTimeoutMs: 1000 };

/** Runs an entry process until the signal aborts and all running requests have ended. */
export async function runEntry(
  cfg: EntrySettings,
  secret: string,
  log: Logger,
  timers: TimerService,
  signal: AbortSignal,
): Promise<void> {
  // Background tasks continue after the stop signal until the last request has ended.
  const background = new AbortController();
  setMaxListeners(0, background.signal);
  const self: MemberIdentity = {
    address: cfg.peerAdvertise ?? cfg.peerListen,
    incarnation: timers.now(),
    member: cfg.name,
    role: 'entry',
    vm: cfg.vm,
    zone: cfg.zone,
  };
  const holder = {
    entry: cfg.name,
    get incarnation(): number {
      return self.incarnation;
    },
  };
  const http = new PlatformHttpClient({ ...cfg.platform, secret });
  const logClient = new LogClient(http);
  const ring = new EventRing(cfg.name, EVENT_RING_CAPACITY, timers);
  const metrics = new Metrics();
  const meter = new RequestMeter(ring, new LatencyHistograms(), metrics);
  const sources = cfg.controls.map((address) => new ControlSource(address, secret, ring));
  const replica = new FleetReplica(() => sources, REPLICA_SETTINGS, timers);
  const work = new WorkReplica(
    logClient,
    { ...WORK_REPLICA_SETTINGS, keepFinishedMs: cfg.tasks.keepFinishedMs, keyWindowMs: cfg.keyWindowMs },
    timers,
  );
  const fleetAppender = new BatchAppender(logClient, STREAM.fleet, BATCH_SETTINGS, timers, background.signal);
  const workAppender = new BatchAppender(logClient, STREAM.work, BATCH_SETTINGS, timers, background.signal);
  const inFlight = new InFlight(() => {
    clear.check(background.signal);
  });
  const clear = new ClearReporter(replica, inFlight, fleetAppender, holder, timers);
  const membership = new MemberJoiner(self, replica, fleetAppender, timers);
  const targets = new TargetClient({ ...TARGET_CLIENT_SETTINGS, bufferLimitBytes: cfg.bufferLimitBytes });
  const guard = new PauseGuard(
    () => replica.refresh(createTimeoutSignal(background.signal, REFRESH_TIMEOUT_MS)),
    PAUSE_GUARD_SETTINGS,
    timers,
  );
  const results = new ResultCache(RESULT_CACHE_BYTES);
  const lookup = new ClaimLookup(work.claims, results, holder);
  const peers = new PeerClients(secret, ring);
  const leaving = new LeavingVms();
  const claims = new ClaimService({
    appender: workAppender,
    earlierClaims: new EarlierClaimResolver(
      work,
      new ClaimHolderClient(replica, peers, holder, lookup),
      timers,
    ),
    holder,
    results,
    maxPendingRecords: MAX_PENDING_RECORDS,
    signal: background.signal,
    timers,
    work,
  });
  const health = new TargetHealth(replica, timers);
  const members = new JoinedMembers(replica);
  const queueing = createQueueing({
    health,
    holder,
    inFlight,
    members,
    peers,
    replica,
    stopping: signal,
    timers,
  });
  const dispatcher = new RequestDispatcher({
    byteBudget: new ByteBudget(cfg.maxHeldBytes),
    claims,
    grants: queueing.grants,
    guard,
    health,
    leaving,
    meter,
    replica,
    stopping: signal,
    targets,
    timers,
  });
  const tasks = startTasks({
    appender: workAppender,
    entry: cfg.name,
    inFlight,
    leaving,
    members,
    replica,
    ring,
    secret,
    settings: cfg.tasks,
    signal: background.signal,
    timers,
    work,
  });
  const ready = (): boolean => replica.caughtUp && !membership.isSuperseded && !signal.aborted;
  const app = createCallerApi({
    dispatcher,
    maxRequestBytes: cfg.maxRequestBytes,
    meter,
    ready: ready,
    replica,
    stopping: signal,
    tasks: tasks.service,
    timers,
  });
  const queuedByPool = (): Map<string, number> => queueing.queues.queuedByPool();
  const appenders = { fleet: fleetAppender, work: workAppender };
  publishEntryMetrics(metrics, { appenders, inFlight, queuedByPool, replica, work });
  publishTasks(metrics, work, tasks);
  metrics.mount(app);
  recordFleetEvents(replica, ring, background.signal);
  logFleetChanges({ log, logClient, replica, timers }, background.signal);
  const server = await listen(app, cfg.listen);
  const peerApp = new Hono();
  const status = createEntryStatus({ holder, inFlight, queuedByPool, replica });
  const { queues } = queueing;
  const router = createPeerRouter({
    claims: lookup,
    leaving,
    name: cfg.name,
    queues,
    ring,
    status,
    tasks: work.tasks,
  });
  mountRpc(peerApp, router, secret, ring);
  const peerServer = await listen(peerApp, cfg.peerListen);
  log.info({ listen: cfg.listen, peerListen: cfg.peerListen }, 'entry process started');
  membership.start(background.signal);
  clear.start(background.signal);
  guard.start(background.signal);
  queueing.start(background.signal);
  replica.subscribe(() => {
    targets.resize(connectionsPerMember(replica.state));
  }, background.signal);
  new LeavingWatch(
    leaving,
    new VmClient(http),
    members,
    peers,
    { name: cfg.name, pollMs: cfg.vmListPollMs },
    timers,
  ).start(background.signal);
  const running = [replica.run(background.signal), work.run(background.signal)];
  await whenAborted(signal);
  const stop = new GracefulStop(dispatcher, work, [workAppender, fleetAppender], timers, () => {
    membership.leave(background.signal);
  });
  await stop.drain(server, cfg.stopGraceMs);
  background.abort();
  await closeServer(peerServer);
  await Promise.all(running);
  await targets.close();
  await tasks.close();
  await http.close();
  log.info('entry process stopped');
}

function whenAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
    }
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      { once: true },
    );
  });
}
