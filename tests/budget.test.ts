import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { callJson, Cluster, SECRET } from './support/cluster';
import { LogRecorder } from './support/log-recorder';
import { readControlStates, replayBudgets, serializeState } from './support/replay-check';
import { waitFor } from './support/wait-for';

const TEAM = 'voyages';
const SEED = 1;
const CONTROL_COUNT = 3;
const ROUNDS = 14;
const BUDGETS = { bookings: 3, search: 4 };
/** VMs `target-0` to `target-4` belong to the first pool, the others to the second. */
const FIRST_POOL_VM_COUNT = 5;
const VM_COUNT = 12;

interface ListedVm {
  id: string;
  pool: string;
  state: string;
}

let cluster: Cluster;
let log: LogRecorder;

beforeAll(async () => {
  const platformArgs = ['--seed', String(SEED), '--reboot-ms', '700'];
  cluster = await Cluster.start({ entries: CONTROL_COUNT, executors: VM_COUNT, platformArgs, teams: [TEAM] });
  log = new LogRecorder(cluster);
  log.start();
  await cluster.waitForVms();
  const pools = Object.fromEntries(
    Object.entries(BUDGETS).map(([pool, minServing]) => [pool, { jobs: {}, minServing }]),
  );
  await cluster.callOperatorApi(TEAM, 'PUT', `/settings/${TEAM}`, { pools }, { 'if-match': '0' });
  for (const [index, { name }] of cluster.executors.entries()) {
    const to = index < FIRST_POOL_VM_COUNT ? 'bookings' : 'search';
    await cluster.callOperatorApi(TEAM, 'POST', `/vms/${name}/move`, { to });
  }
  await waitFor('all VMs in their pools', 10_000, async () =>
    (await listVms()).every((vm) => vm.pool !== 'unassigned') ? true : undefined,
  );
});

afterAll(async () => {
  await cluster.stop();
});

async function listVms(controlIndex = 1): Promise<ListedVm[]> {
  const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms', undefined, {}, controlIndex);
  return body as unknown as ListedVm[];
}

async function drain(vm: string, controlIndex: number): Promise<void> {
  // A killed control doesn't answer; a later round drains through another control.
  await cluster
    .callOperatorApi(TEAM, 'POST', `/vms/${vm}/drain`, { purpose: 'reboot' }, {}, controlIndex)
    .catch(() => undefined);
}

// Drains random VMs concurrently through all controls, so that more drains are requested than the budgets
// allow.
async function raceDrains(random: () => number): Promise<void> {
  const serving = (await listVms()).filter((vm) => vm.state === 'serving');
  const requests = Array.from({ length: 3 * CONTROL_COUNT }, (_, index) => ({
    controlIndex: index % CONTROL_COUNT,
    vm: serving[Math.floor(random() * serving.length)]?.id ?? 'none',
  }));
  await Promise.all(requests.map((request) => drain(request.vm, request.controlIndex)));
}

async function undrainAll(): Promise<void> {
  const draining = (await listVms()).filter((vm) => vm.state === 'draining');
  await Promise.all(
    draining.map((vm) => cluster.callOperatorApi(TEAM, 'POST', `/vms/${vm.id}/undrain`, {}, {}, 1)),
  );
}

// Asks the platform to reboot the released VMs, as the planner does in production.
async function rebootReleased(): Promise<void> {
  const headers = { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' };
  const released = (await listVms()).filter((vm) => vm.state === 'released');
  await Promise.all(
    released.map((vm) =>
      callJson(`${cluster.platformUrl}/v1/vms/${vm.id}/reboot`, 'POST', headers, {}).catch(() => undefined),
    ),
  );
}

function injectFault(round: number): Promise<unknown> {
  switch (round) {
    case 3:
      return cluster.callAdminApi('PUT', '/faults', { loseAppendAnswers: 0.4 });
    case 5:
      return Promise.all([
        cluster.executors[1]?.process.stop(),
        cluster.callAdminApi('DELETE', '/vms/target-1'),
      ]);
    case 7:
      return Promise.resolve(cluster.entries[0]?.control.stop());
    case 9:
      // Both VMs disappear at once, as in the loss of a rack.
      return Promise.all(['target-6', 'target-7'].map((vm) => cluster.callAdminApi('DELETE', `/vms/${vm}`)));
    case 11:
      return cluster.restartControl(0);
    default:
      return Promise.resolve();
  }
}

// Guards invariant 1: no planned step leaves a pool with fewer serving VMs than its budget. Concurrent drains
// through different controls could each see enough serving VMs and together take too many.
describe('availability budget, seed 1', () => {
  it('holds with concurrent drains while a control, a VM and a rack fail', async () => {
    const random = seededRandom(SEED);
    for (let round = 0; round < ROUNDS; round += 1) {
      await injectFault(round);
      await raceDrains(random);
      await delay(400);
      await undrainAll();
      await rebootReleased();
      await delay(300);
    }
    await cluster.callAdminApi('PUT', '/faults', {});
    await delay(500);
    await log.finish();
    const report = replayBudgets(log, BUDGETS, 'enforced');
    console.log(`seed ${SEED}, budgets ${JSON.stringify(BUDGETS)}: ${JSON.stringify(report)}`);
    expect(report.drains).toBeGreaterThan(ROUNDS / 2);
    expect(report.refusedForBudget).toBeGreaterThan(ROUNDS);
    expect(report.violations).toEqual([]);
  });

  it('replays to a state that is byte-identical to the state of every control', async () => {
    const state = log.replay();
    const text = serializeState(state);
    expect(await readControlStates(cluster, state.next)).toEqual(
      Array.from({ length: CONTROL_COUNT }, () => text),
    );
  });

  it('detects violations when the replay ignores the budgets', () => {
    const report = replayBudgets(log, BUDGETS, 'ignored');
    console.log(
      `without the budget rule: ${report.violations.length} of ${report.drains} drains violate a budget`,
    );
    expect(report.violations.length).toBeGreaterThan(0);
  });
});
