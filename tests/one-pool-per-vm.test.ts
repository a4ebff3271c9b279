import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from './support/cluster';
import { LogRecorder } from './support/log-recorder';
import { readControlStates, serializeState } from './support/replay-check';

const TEAM = 'voyages';
const SEED = 2;
const CONTROL_COUNT = 3;
const ROUNDS = 12;
const POOLS = ['bookings', 'search', 'unassigned'];
const VM_COUNT = 6;

let cluster: Cluster;
let log: LogRecorder;

beforeAll(async () => {
  const platformArgs = ['--seed', String(SEED)];
  cluster = await Cluster.start({ entries: CONTROL_COUNT, executors: VM_COUNT, platformArgs, teams: [TEAM] });
  log = new LogRecorder(cluster);
  log.start();
  await cluster.waitForVms();
  const pools = { bookings: { jobs: {}, minServing: 1 }, search: { jobs: {}, minServing: 1 } };
  await cluster.callOperatorApi(TEAM, 'PUT', `/settings/${TEAM}`, { pools }, { 'if-match': '0' });
});

afterAll(async () => {
  await cluster.stop();
});

interface MoveResult {
  accepted: boolean;
  reason: string;
  vm: string;
}

async function requestMove(vm: string, from: string, to: string, controlIndex: number): Promise<MoveResult> {
  const { body, status } = await cluster.callOperatorApi(
    TEAM,
    'POST',
    `/vms/${vm}/move`,
    { from, to },
    {},
    controlIndex,
  );
  return { accepted: status === 200, reason: typeof body.reason === 'string' ? body.reason : '', vm };
}

// Guards invariant 2: concurrent moves through different controls leave each VM in exactly one pool, and
// every replica agrees on which. Lost append answers make controls repeat records that are already stored.
describe('one pool per VM, seed 2', () => {
  it('accepts at most one of the concurrent moves of a VM when append answers are lost', async () => {
    await cluster.callAdminApi('PUT', '/faults', { loseAppendAnswers: 0.5 });
    const random = seededRandom(SEED);
    const results: MoveResult[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms');
      const vms = body as unknown as { id: string; pool: string; state: string }[];
      const races = vms.flatMap((vm) => {
        const others = POOLS.filter((pool) => pool !== vm.pool);
        return Array.from({ length: CONTROL_COUNT }, (_, controlIndex) =>
          requestMove(vm.id, vm.pool, others[Math.floor(random() * others.length)] ?? '', controlIndex),
        );
      });
      const moved = await Promise.all(races);
      for (const vm of vms) {
        expect(moved.filter((result) => result.vm === vm.id && result.accepted).length).toBeLessThanOrEqual(
          1,
        );
      }
      results.push(...moved);
      await delay(150);
    }
    await cluster.callAdminApi('PUT', '/faults', {});
    const accepted = results.filter((result) => result.accepted).length;
    console.log(`seed ${SEED}: ${results.length} moves, ${accepted} accepted`);
    expect(accepted).toBeGreaterThan(ROUNDS);
    expect(results.length - accepted).toBeGreaterThan(ROUNDS);
  });

  it('replays to a state that is byte-identical to the state of every control', async () => {
    await delay(500);
    await log.finish();
    const moves = new Map<string, string>();
    let refusedRepeats = 0;
    const state = log.replay((_state, _offset, _value, result) => {
      if (result.isOk() && result.value.kind === 'vm-drain') {
        moves.set(result.value.id, result.value.vm);
      }
      refusedRepeats += result.isErr() && result.error.reason === 'duplicate-id' ? 1 : 0;
    });
    const { lostAnswers } = await cluster.callAdminApi<{ lostAnswers: number }>('GET', '/counters');
    console.log(`${state.next} records, ${lostAnswers} lost answers, ${refusedRepeats} repeats refused`);
    expect(refusedRepeats).toBeGreaterThan(0);
    const text = serializeState(state);
    expect(await readControlStates(cluster, state.next)).toEqual(
      Array.from({ length: CONTROL_COUNT }, () => text),
    );
    expect([...state.vms.values()].every((vm) => POOLS.includes(vm.pool))).toBe(true);
  });

  it('detects replicas that do not refuse a repeated record', () => {
    const withoutDeduplication = emptyFleetState();
    for (const { offset, value } of log.records) {
      withoutDeduplication.recentIds.clear();
      applyFleetRecord(withoutDeduplication, offset, value);
    }
    const replayed = log.replay();
    withoutDeduplication.recentIds = replayed.recentIds;
    expect(serializeState(withoutDeduplication)).not.toBe(serializeState(replayed));
  });
});
