import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import type { AttackKind } from './support/attack-load';
import type { Port } from './support/hostile-run';
import { ATTACK, createPathPipeline, MIXED_ATTACK } from './support/attack-load';
import {
  ANSWER_TIMEOUT_MS,
  attack,
  expectServed,
  findLeader,
  LIMITS,
  ownEpoch,
  SMALLEST_MACHINE,
  TEST_TIMEOUT_MS,
} from './support/hostile-run';
import { NodeCluster } from './support/node-cluster';

let cluster: NodeCluster;

afterEach(async () => {
  await cluster.stop();
});

function startCluster(nodes: number, peers = false): Promise<NodeCluster> {
  return NodeCluster.start({ limits: LIMITS, nodes, peers, settings: SMALLEST_MACHINE }, []);
}

// Guards against clients that make a process of the node end, outgrow its machine or stop serving others.
describe('misbehaving clients', () => {
  it.each(Object.entries<AttackKind>(ATTACK))(
    'leave the callers served: %s',
    async (_, kind) => {
      cluster = await startCluster(1);
      expectServed(await attack(cluster, 0, 'callerPort', [kind]));
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'leave the callers served: all kinds at the same time',
    async () => {
      cluster = await startCluster(1);
      expectServed(await attack(cluster, 0, 'callerPort', MIXED_ATTACK));
    },
    TEST_TIMEOUT_MS,
  );

  it.each<[Port, string, AttackKind]>([
    ['readinessPort', 'large chunks', ATTACK.largeChunks],
    ['readinessPort', 'one-byte chunks', ATTACK.oneByteChunks],
    ['readinessPort', 'endless headers', ATTACK.endlessHeaders],
    ['readinessPort', 'idle connections', ATTACK.idleConnections],
    ['readinessPort', 'unread answers', createPathPipeline('/')],
    ['metricsPort', 'large chunks', ATTACK.largeChunks],
    ['metricsPort', 'one-byte chunks', ATTACK.oneByteChunks],
    ['metricsPort', 'endless headers', ATTACK.endlessHeaders],
    ['metricsPort', 'idle connections', ATTACK.idleConnections],
    ['metricsPort', 'unread answers', createPathPipeline('/metrics')],
  ])(
    'leave the callers served and the node ready: %s, %s',
    async (port, _, kind) => {
      cluster = await startCluster(1);
      const outcome = await attack(cluster, 0, port, [kind]);
      expectServed(outcome);
      await cluster.waitUntilReady(0, ANSWER_TIMEOUT_MS);
      expect.soft(await cluster.metrics(0)).toContain('sequoiaquay_requests_total');
    },
    TEST_TIMEOUT_MS,
  );

  // Clients that are not nodes reach the address for other nodes too.
  it.each<[string, AttackKind]>([
    ['large chunks', ATTACK.largeChunks],
    ['one-byte chunks', ATTACK.oneByteChunks],
    ['sent bodies', ATTACK.sentBodies],
    ['short bodies', ATTACK.shortBodies],
    ['endless headers', ATTACK.endlessHeaders],
    ['idle connections', ATTACK.idleConnections],
    ['unread answers', createPathPipeline('/rpc/status')],
    ['unread answers to bodies', ATTACK.pipelinedPosts],
  ])(
    'leave the callers served: peerPort, %s',
    async (_, kind) => {
      cluster = await startCluster(1, true);
      expectServed(await attack(cluster, 0, 'peerPort', [kind]));
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a leader that can't store its heartbeat in time because of its callers.
  it(
    'leave the leader its term',
    async () => {
      cluster = await startCluster(2);
      const leader = await findLeader(cluster);
      const epoch = await ownEpoch(cluster, leader);
      const terms = countTerms();
      expectServed(await attack(cluster, leader, 'callerPort', MIXED_ATTACK));
      expect.soft(await ownEpoch(cluster, leader)).toBe(epoch);
      expect.soft(countTerms()).toBe(terms);
    },
    TEST_TIMEOUT_MS,
  );
});

function countTerms(): number {
  const log = readFileSync(join(cluster.directory, 'processes.log'), 'utf8');
  return log.split('"term begins"').length - 1;
}
