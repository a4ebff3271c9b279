import { readFileSync, writeFileSync } from 'node:fs';
import { afterEach, describe, expect, it } from 'vitest';
import { AttackLoad, MIXED_ATTACK } from './support/attack-load';
import { createManyStepJobs, DECODED_ATTACK } from './support/decoded-attack';
import {
  ANSWER_TIMEOUT_MS,
  attack,
  expectServed,
  expectWithinMachine,
  findLeader,
  LIMITS,
  ownEpoch,
  SMALLEST_MACHINE,
  STORE_LIMITS,
  submitOrdinary,
  TEST_TIMEOUT_MS,
  watchProcess,
} from './support/hostile-run';
import { NodeCluster } from './support/node-cluster';

const CROWDS_IN_SERIES = 6;
const JOB_CROWD = 100;

/** Crowds of every kind that sends whole bodies, each with a part of its connections. */
const MIXED_BODIES = Object.values(DECODED_ATTACK).map((kind) => ({
  ...kind,
  connections: Math.ceil(kind.connections / 8),
}));

let cluster: NodeCluster;

afterEach(async () => {
  await cluster.stop();
});

async function start(nodes: number): Promise<void> {
  const settings = { ...SMALLEST_MACHINE, ...STORE_LIMITS };
  cluster = await NodeCluster.start({ limits: LIMITS, nodes, settings }, []);
}

async function readGauge(node: number, name: string): Promise<number> {
  const value = new RegExp(`^${name}\\{server="callers"\\} (\\d+)$`, 'mu').exec(await cluster.metrics(node));
  return Number(value?.[1]);
}

async function expectServedSoon(node: number): Promise<void> {
  await expect.poll(() => submitOrdinary(cluster, node), { timeout: ANSWER_TIMEOUT_MS }).toBe(200);
}

// Guards against crowds that do harm only together with a start, an outage, a signal or a change of the leader.
describe('misbehaving clients at a bad moment', () => {
  it(
    'leave a node within its machine that has no configuration yet',
    async () => {
      await start(1);
      cluster.store.setFaults({ down: true });
      await cluster.kill(0);
      cluster.restart(0);
      await cluster.waitUntilListening(0);
      const outcome = await attack(cluster, 0, 'callerPort', [...MIXED_ATTACK, ...MIXED_BODIES]);
      expectWithinMachine(outcome);
      expect.soft(outcome.answers).toEqual([503, 503, 503]);
      cluster.store.setFaults({});
      await cluster.waitUntilReady(0, ANSWER_TIMEOUT_MS);
      await expectServedSoon(0);
    },
    TEST_TIMEOUT_MS,
  );

  it.each([
    ['does not answer', { loseAnswers: true }],
    ['refuses all calls', { down: true }],
  ])(
    'leave a node within its machine while the store %s',
    async (_, faults) => {
      await start(1);
      cluster.store.setFaults(faults);
      const kinds = [...MIXED_ATTACK, ...MIXED_BODIES, createManyStepJobs(JOB_CROWD)];
      const outcome = await attack(cluster, 0, 'callerPort', kinds);
      expectWithinMachine(outcome);
      for (const status of outcome.answers) {
        expect.soft([503, 504]).toContain(status);
      }
      cluster.store.setFaults({});
      await expectServedSoon(0);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'leave nothing behind, one crowd after the other',
    async () => {
      await start(1);
      for (let round = 0; round < CROWDS_IN_SERIES; round += 1) {
        expectServed(await attack(cluster, 0, 'callerPort', round % 2 === 0 ? MIXED_ATTACK : MIXED_BODIES));
      }
      const gauge = (name: string) => () => readGauge(0, `sequoiaquay_client_${name}`);
      await expect.poll(gauge('held_bytes'), { timeout: ANSWER_TIMEOUT_MS }).toBe(0);
      await expect.poll(gauge('connections'), { timeout: ANSWER_TIMEOUT_MS }).toBe(0);
    },
    2 * TEST_TIMEOUT_MS,
  );

  it(
    'do not keep a node from ending after SIGTERM',
    async () => {
      await start(1);
      const vm = cluster.getNode(0);
      const endWatch = watchProcess(vm);
      const load = new AttackLoad(vm.callerPort, [...MIXED_ATTACK, ...MIXED_BODIES]);
      const sent = load.send();
      const status = await submitOrdinary(cluster, 0);
      vm.process.send('SIGTERM');
      // The crowd goes on until the process has ended by itself.
      expect.soft(await vm.process.exited).toBe(0);
      load.close();
      await sent;
      expect.soft(status).toBe(200);
      const { descriptors, memoryMb } = endWatch();
      expectWithinMachine({ descriptors, isAlive: true, memoryMb });
      cluster.restart(0);
      await cluster.waitUntilReady(0, ANSWER_TIMEOUT_MS);
      await expectServedSoon(0);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'do not keep a node from new settings after SIGHUP',
    async () => {
      await start(1);
      const { callerPort, process, settingsFile } = cluster.getNode(0);
      const load = new AttackLoad(callerPort, [...MIXED_ATTACK, ...MIXED_BODIES]);
      const sent = load.send();
      const settings = JSON.parse(readFileSync(settingsFile, 'utf8')) as object;
      writeFileSync(settingsFile, JSON.stringify({ ...settings, logLevel: 'debug' }));
      process.send('SIGHUP');
      await expect
        .poll(() => cluster.logLines('settings reloaded').length, { timeout: ANSWER_TIMEOUT_MS })
        .toBeGreaterThan(0);
      expect.soft(await submitOrdinary(cluster, 0)).toBe(200);
      await sent;
      load.close();
      await expectServedSoon(0);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'do not keep a node from taking over as leader',
    async () => {
      await start(2);
      const leader = await findLeader(cluster);
      const successor = 1 - leader;
      const vm = cluster.getNode(successor);
      const endWatch = watchProcess(vm);
      const load = new AttackLoad(vm.callerPort, [...MIXED_ATTACK, ...MIXED_BODIES]);
      const sent = load.send();
      await cluster.kill(leader);
      await expect
        .poll(() => ownEpoch(cluster, successor), { timeout: ANSWER_TIMEOUT_MS })
        .toBeGreaterThan(0);
      expect.soft(await submitOrdinary(cluster, successor)).toBe(200);
      await sent;
      load.close();
      await expectServedSoon(successor);
      expectWithinMachine(endWatch());
    },
    TEST_TIMEOUT_MS,
  );
});
