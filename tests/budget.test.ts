import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { callJson, Cluster, SECRET } from './support/cluster';
import { LogRecorder } from './support/log-recorder';
import { controlStates, replayBudgets, stateText } from './support/replay-check';
import { waitFor } from './support/wait-for';

const TEAM = 'voyages';
const SEED = 1;
const CONTROLS = 3;
const ROUNDS = 14;
const BUDGETS = { bookings: 3, search: 4 };
/** VMs `target-0` to `target-4` belong to the first pool, the others to the second. */
const FIRST_POOL_VMS = 5;
const VMS = 12;

interface ListedVm {
  id: string;
  pool: string;
  state: string;
}

let cluster: Cluster;
let log: LogRecorder;

beforeAll(async () => {
  const platformArgs = ['--seed', String(SEED), '--reboot-ms', '700'];
  cluster = await Cluster.start({ entries: CONTROLS, executors: VMS, platformArgs, teams: [TEAM] });
  log = new LogRecorder(cluster);
  log.start();
  await cluster.waitForVms();
  const pools = Object.fromEntries(
    Object.entries(BUDGETS).map(([pool, minServing]) => [pool, { jobs: {}, minServing }]),
  );
  await cluster.operate(TEAM, 'PUT', `/settings/${TEAM}`, { pools }, { 'if-match': '0' });
  for (const [index, { name }] of cluster.executors.entries()) {
    const to = index < FIRST_POOL_VMS ? 'bookings' : 'search';
    await cluster.operate(TEAM, 'POST', `/vms/${name}/move`, { to });
  }
  await waitFor('all VMs in their pools', 10_000, async () =>
    (await vms()).every((vm) => vm.pool !== 'unassigned') ? true : undefined,
  );
});

afterAll(async () => {
  await cluster.stop();
});

async function vms(through = 1): Promise<ListedVm[]> {
  const { body } = await cluster.operate(TEAM, 'GET', '/vms', undefined, {}, through);
  return body as unknown as ListedVm[];
}

async function drain(vm: string, through: number): Promise<void> {
  // A control that was killed answers nothing; its operator tries elsewhere in a later round.
  await cluster
    .operate(TEAM, 'POST', `/vms/${vm}/drain`, { purpose: 'reboot' }, {}, through)
    .catch(() => undefined);
}

// Every operator drains the VM of its own choice at once, so that the pools are asked for too many.
async function race(random: () => number): Promise<void> {
  const known = (await vms()).filter((vm) => vm.state === 'serving');
  const wishes = Array.from({ length: 3 * CONTROLS }, (_, index) => ({
    through: index % CONTROLS,
    vm: known[Math.floor(random() * known.length)]?.id ?? 'none',
  }));
  await Promise.all(wishes.map((wish) => drain(wish.vm, wish.through)));
}

async function undrainAll(): Promise<void> {
  const draining = (await vms()).filter((vm) => vm.state === 'draining');
  await Promise.all(draining.map((vm) => cluster.operate(TEAM, 'POST', `/vms/${vm.id}/undrain`, {}, {}, 1)));
}

// Stands in for the planner: has the platform reboot the released VMs.
async function rebootReleased(): Promise<void> {
  const headers = { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' };
  const released = (await vms()).filter((vm) => vm.state === 'released');
  await Promise.all(
    released.map((vm) =>
      callJson(`${cluster.platformUrl}/v1/vms/${vm.id}/reboot`, 'POST', headers, {}).catch(() => undefined),
    ),
  );
}

function fault(round: number): Promise<unknown> {
  switch (round) {
    case 3:
      return cluster.admin('PUT', '/faults', { loseAppendAnswers: 0.4 });
    case 5:
      return Promise.all([cluster.executors[1]?.process.stop(), cluster.admin('DELETE', '/vms/target-1')]);
    case 7:
      return Promise.resolve(cluster.entries[0]?.control.stop());
    case 9:
      // The rack of these VMs is lost as a whole.
      return Promise.all(['target-6', 'target-7'].map((vm) => cluster.admin('DELETE', `/vms/${vm}`)));
    case 11:
      return cluster.restartControl(0);
    default:
      return Promise.resolve();
  }
}

// Guards invariant 1: no planned step leaves a pool with fewer serving VMs than its budget.
describe('availability budget, seed 1', () => {
  it('holds while operators race, a control dies, a VM dies and a rack is lost', async () => {
    const random = seededRandom(SEED);
    for (let round = 0; round < ROUNDS; round += 1) {
      await fault(round);
      await race(random);
      await delay(400);
      await undrainAll();
      await rebootReleased();
      await delay(300);
    }
    await cluster.admin('PUT', '/faults', {});
    await delay(500);
    await log.finish();
    const strict = replayBudgets(log, BUDGETS, 'strict');
    console.log(`seed ${SEED}, budgets ${JSON.stringify(BUDGETS)}: ${JSON.stringify(strict)}`);
    expect(strict.drains).toBeGreaterThan(ROUNDS / 2);
    expect(strict.refusedForBudget).toBeGreaterThan(ROUNDS);
    expect(strict.breaks).toEqual([]);
  });

  it('agrees with every control on the state, byte for byte', async () => {
    const state = log.replay();
    const text = stateText(state);
    expect(await controlStates(cluster, state.next)).toEqual(Array.from({ length: CONTROLS }, () => text));
  });

  it('would be seen to break without the budget rule', () => {
    const lax = replayBudgets(log, BUDGETS, 'lax');
    console.log(`without the rule: ${lax.breaks.length} of ${lax.drains} drains break a budget`);
    expect(lax.breaks.length).toBeGreaterThan(0);
  });
});
