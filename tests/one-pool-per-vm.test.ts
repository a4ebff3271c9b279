import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from './support/cluster';
import { LogRecorder } from './support/log-recorder';
import { controlStates, stateText } from './support/replay-check';

const TEAM = 'voyages';
const SEED = 2;
const CONTROLS = 3;
const ROUNDS = 12;
const POOLS = ['bookings', 'search', 'unassigned'];
const VMS = 6;

let cluster: Cluster;
let log: LogRecorder;

beforeAll(async () => {
  const platformArgs = ['--seed', String(SEED)];
  cluster = await Cluster.start({ entries: CONTROLS, executors: VMS, platformArgs, teams: [TEAM] });
  log = new LogRecorder(cluster);
  log.start();
  await cluster.waitForVms();
  const pools = { bookings: { jobs: {}, minServing: 1 }, search: { jobs: {}, minServing: 1 } };
  await cluster.operate(TEAM, 'PUT', `/settings/${TEAM}`, { pools }, { 'if-match': '0' });
});

afterAll(async () => {
  await cluster.stop();
});

interface Move {
  accepted: boolean;
  reason: string;
  vm: string;
}

async function move(vm: string, from: string, to: string, through: number): Promise<Move> {
  const { body, status } = await cluster.operate(TEAM, 'POST', `/vms/${vm}/move`, { from, to }, {}, through);
  return { accepted: status === 200, reason: typeof body.reason === 'string' ? body.reason : '', vm };
}

// Guards invariant 2: racing moves leave each VM in one pool, and every replica agrees on which.
describe('one pool per VM, seed 2', () => {
  it('accepts at most one of the moves that race for a VM, with lost append answers', async () => {
    await cluster.admin('PUT', '/faults', { loseAppendAnswers: 0.5 });
    const random = seededRandom(SEED);
    const results: Move[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const { body } = await cluster.operate(TEAM, 'GET', '/vms');
      const vms = body as unknown as { id: string; pool: string; state: string }[];
      const races = vms.flatMap((vm) => {
        const others = POOLS.filter((pool) => pool !== vm.pool);
        return Array.from({ length: CONTROLS }, (_, through) =>
          move(vm.id, vm.pool, others[Math.floor(random() * others.length)] ?? '', through),
        );
      });
      const moved = await Promise.all(races);
      for (const vm of vms) {
        expect(moved.filter((made) => made.vm === vm.id && made.accepted).length).toBeLessThanOrEqual(1);
      }
      results.push(...moved);
      await delay(150);
    }
    await cluster.admin('PUT', '/faults', {});
    const accepted = results.filter((made) => made.accepted).length;
    console.log(`seed ${SEED}: ${results.length} moves, ${accepted} accepted`);
    expect(accepted).toBeGreaterThan(ROUNDS);
    expect(results.length - accepted).toBeGreaterThan(ROUNDS);
  });

  it('replays to the same state, byte for byte, as every control holds, and each answer was true', async () => {
    await delay(500);
    await log.finish();
    const moves = new Map<string, string>();
    let repeats = 0;
    const state = log.replay((_state, _offset, _value, verdict) => {
      if (verdict.isOk() && verdict.value.kind === 'vm-drain') {
        moves.set(verdict.value.id, verdict.value.vm);
      }
      repeats += verdict.isErr() && verdict.error.reason === 'duplicate-id' ? 1 : 0;
    });
    const { lostAnswers } = await cluster.admin<{ lostAnswers: number }>('GET', '/counters');
    console.log(`${state.next} records, ${lostAnswers} lost answers, ${repeats} repeats refused`);
    expect(repeats).toBeGreaterThan(0);
    const text = stateText(state);
    expect(await controlStates(cluster, state.next)).toEqual(Array.from({ length: CONTROLS }, () => text));
    expect([...state.vms.values()].every((vm) => POOLS.includes(vm.pool))).toBe(true);
  });

  it('would notice replicas that do not refuse a repeated record', () => {
    const lax = emptyFleetState();
    for (const { offset, value } of log.records) {
      lax.recentIds.clear();
      applyFleetRecord(lax, offset, value);
    }
    const strict = log.replay();
    lax.recentIds = strict.recentIds;
    expect(stateText(lax)).not.toBe(stateText(strict));
  });
});
