import type { MemberIdentity } from '@sequoiaquay/platform';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ControlSource } from '@sequoiaquay/control';
import {
  BatchAppender,
  FleetReplica,
  LogClient,
  MemberJoiner,
  PlatformHttp,
  STREAM,
} from '@sequoiaquay/platform';
import { closeServer, EventRing, listen, mountRpc } from '@sequoiaquay/runtime';
import { Hono } from 'hono';
import type { EntrySettings } from './entry-settings';
import { ByteBudget } from './byte-budget';
import { createCallerApi } from './caller-api';
import { ClaimService } from './claim-service';
import { ClearReporter } from './clear-reporter';
import { connectionsPerMember } from './connection-share';
import { RequestDispatcher } from './dispatcher';
import { InFlight } from './in-flight';
import { JoinedMembers } from './live-members';
import { createPeerRouter } from './peer-router';
import { createQueueing } from './queueing';
import { TargetClient } from './target-client';
import { TargetHealth } from './target-health';
import { WorkReplica } from './work-replica';

const BATCH = { batchMs: 5, maxBatch: 500, retryMaxMs: 1000, retryMinMs: 50 };
const REPLICA = { maxSourceAgeMs: 1500, preferredMs: 500, retryMs: 200, waitMs: 500 };
const WORK_REPLICA = { retryMs: 200, waitMs: 5000 };
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
  const self: MemberIdentity = {
    address: cfg.peerListen,
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
  const http = new PlatformHttp({ ...cfg.platform, secret });
  const logClient = new LogClient(http);
  const sources = cfg.controls.map((address) => new ControlSource(address, secret));
  const replica = new FleetReplica(() => sources, REPLICA, timers);
  const work = new WorkReplica(logClient, { ...WORK_REPLICA, keyWindowMs: cfg.keyWindowMs }, timers);
  const fleetAppender = new BatchAppender(logClient, STREAM.fleet, BATCH, timers, background.signal);
  const workAppender = new BatchAppender(logClient, STREAM.work, BATCH, timers, background.signal);
  const inFlight = new InFlight(() => {
    clear.check(background.signal);
  });
  const clear = new ClearReporter(replica, inFlight, fleetAppender, holder, timers);
  const targets = new TargetClient(TARGETS);
  const health = new TargetHealth(replica, timers);
  const members = new JoinedMembers(replica);
  const queueing = createQueueing({
    health,
    holder,
    inFlight,
    members,
    replica,
    secret,
    stopping: signal,
    timers,
  });
  const dispatcher = new RequestDispatcher({
    bytes: new ByteBudget(cfg.maxHeldBytes),
    claims: new ClaimService(workAppender, work, holder, timers),
    grants: queueing.grants,
    health,
    replica,
    targets,
    timers,
  });
  const ready = (): boolean => replica.caughtUp && !signal.aborted;
  const server = await listen(
    createCallerApi({ dispatcher, maxRequestBytes: cfg.maxRequestBytes, ready, replica }),
    cfg.listen,
  );
  const ring = new EventRing(cfg.name, RING_CAPACITY, timers);
  const peerApp = new Hono();
  mountRpc(
    peerApp,
    createPeerRouter({ claims: work.claims, name: cfg.name, queues: queueing.queues, ring }),
    secret,
  );
  const peerServer = await listen(peerApp, cfg.peerListen);
  log.info({ listen: cfg.listen, peerListen: cfg.peerListen }, 'entry process started');
  new MemberJoiner(self, replica, fleetAppender, timers).start(background.signal);
  clear.start(background.signal);
  queueing.start(background.signal);
  replica.subscribe(() => {
    targets.resize(connectionsPerMember(replica.state));
  }, background.signal);
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
