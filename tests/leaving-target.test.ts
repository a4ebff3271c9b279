import type { Execution } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster, EntryVm, Executor } from './support/cluster';
import { startBookingsCluster, TEAM } from './support/bookings';
import { sendRequest } from './support/caller';
import { callJson, SECRET } from './support/cluster';
import { waitFor } from './support/wait-for';

/** Time after the notice, in ms, from which no work may start on the leaving VM. */
const MAX_NOTICE_DELAY_MS = 3000;
const LIST_LAG_MS = 100;

/**
 * Time for which an entry is frozen while it is recorded as gone, in ms; a control waits a minute before it
 * does so.
 */
const FREEZE_MS = 3000;

let cluster: Cluster;
let load: Promise<unknown>;
const loadAbort = new AbortController();

beforeAll(async () => {
  cluster = await startBookingsCluster({ entries: 3, executors: 6, faultRoutes: true });
  load = Promise.all(Array.from({ length: 18 }, (_, index) => runCaller(index)));
});

afterAll(async () => {
  loadAbort.abort();
  await load;
  await cluster.stop();
});

// Sends requests through one entry until the end of the tests, so that new work could reach a leaving VM at
// any time.
async function runCaller(index: number): Promise<void> {
  const vm = getEntry(index % 3);
  for (let round = 0; !loadAbort.signal.aborted; round += 1) {
    await sendRequest({
      body: { nonce: `lane-${index}-${round}`, runMs: 20 + (index % 5) * 20 },
      headers: { 'sequoiaquay-deadline-ms': '1500' },
      job: 'quote',
      timeoutMs: 1500,
      url: vm.url,
    });
    await delay(5);
  }
}

function getEntry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`the cluster has no entry ${index}`);
  }
  return vm;
}

function getTarget(index: number): Executor {
  const executor = cluster.executors[index];
  if (executor === undefined) {
    throw new Error(`the cluster has no executor ${index}`);
  }
  return executor;
}

function listExecutionsOn(executor: Executor): Promise<Execution[]> {
  return callJson<Execution[]>(`http://${executor.address}/admin/executions`, 'GET', {});
}

async function listExecutionsSince(executor: Executor, since: number): Promise<Execution[]> {
  return (await listExecutionsOn(executor)).filter(({ startedAt }) => startedAt > since);
}

async function getVmState(vm: string): Promise<string | undefined> {
  return (await cluster.listVms(TEAM)).find(({ id }) => id === vm)?.state;
}

async function drain(executor: Executor): Promise<number> {
  await waitFor(`work on ${executor.name}`, 5000, async () =>
    (await listExecutionsSince(executor, Date.now() - 2000)).length > 0 ? true : undefined,
  );
  const answer = await cluster.callOperatorApi(TEAM, 'POST', `/vms/${executor.name}/drain`, {
    purpose: 'reboot',
  });
  expect(answer).toMatchObject({ body: { accepted: true } });
  return Date.now();
}

// Marks a target as leaving on the platform's VM list and returns the time at which the list shows it.
async function listAsLeaving(executor: Executor): Promise<number> {
  const vm = await cluster.getListedVm(executor.name);
  await cluster.callAdminApi('PUT', `/vms/${executor.name}`, { ...vm, state: 'leaving' });
  return Date.now() + LIST_LAG_MS;
}

// Appends a record that declares a member gone, with the incarnation of its last join.
async function appendMemberGone(member: string): Promise<void> {
  const { records } = await cluster.callAdminApi<{ records: { value: Record<string, unknown> }[] }>(
    'GET',
    '/streams/fleet',
  );
  const joined = records.findLast(({ value }) => value.kind === 'member-join' && value.member === member);
  const { incarnation } = joined?.value ?? {};
  const record = {
    at: Date.now(),
    by: 'test',
    id: `gone-${member}`,
    incarnation,
    kind: 'member-gone',
    member,
    v: 1,
  };
  await callJson(
    `${cluster.platformUrl}/v1/streams/fleet/records`,
    'POST',
    { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    { records: [record] },
  );
}

// Guards against work that starts on a VM after its departure is announced, and against a release while an
// entry could still send to the VM. Both are checked against the start times that the targets recorded.
describe('invariant 6: a leaving target gets no new work', () => {
  it('sends nothing to a draining VM after 3 s and releases it only when nothing runs on it', async () => {
    const vm = getTarget(0);
    const slow = sendRequest({
      body: { nonce: 'straggler', runMs: 2500 },
      job: 'quote',
      timeoutMs: 6000,
      url: getEntry(0).url,
    });
    await delay(100);
    const noticeAt = await drain(vm);
    await waitFor('release', 8000, async () =>
      (await getVmState(vm.name)) === 'draining' ? undefined : true,
    );
    const received = await callJson<{ running: number }>(`http://${vm.address}/admin/received`, 'GET', {});
    expect(received.running).toBe(0);
    await slow;
    await delay(500);
    expect(await listExecutionsSince(vm, noticeAt + MAX_NOTICE_DELAY_MS)).toEqual([]);
  });

  it('delays the release while a listed entry is frozen', async () => {
    const vm = getTarget(1);
    getEntry(2).entry.freeze();
    const noticeAt = await drain(vm);
    await delay(2500);
    const stateWhileFrozen = await getVmState(vm.name);
    getEntry(2).entry.resume();
    expect(stateWhileFrozen).toBe('draining');
    await waitFor('release', 5000, async () =>
      (await getVmState(vm.name)) === 'draining' ? undefined : true,
    );
    await delay(500);
    expect(await listExecutionsSince(vm, noticeAt + MAX_NOTICE_DELAY_MS)).toEqual([]);
  });

  it('applies the platform list, also on an entry that is partitioned from the platform', async () => {
    const vm = getTarget(2);
    // This entry can't reach the platform and its control is stopped, so it learns of the change only through
    // other VMs.
    getEntry(1).platformRoute?.setFaults({ cut: true });
    await getEntry(1).control.stop();
    const noticeAt = await listAsLeaving(vm);
    await delay(MAX_NOTICE_DELAY_MS + 1500);
    getEntry(1).platformRoute?.setFaults({});
    await cluster.restartControl(1);
    expect(await listExecutionsSince(vm, noticeAt + MAX_NOTICE_DELAY_MS)).toEqual([]);
  });

  it('sends nothing to a VM that was released while the entry was frozen and recorded as gone', async () => {
    const vm = getTarget(3);
    const frozen = getEntry(2);
    const frozenAt = Date.now();
    frozen.entry.freeze();
    await drain(vm);
    // A control proposes this record when the entry's VM has been missing from the platform's list for a
    // minute.
    await appendMemberGone(frozen.name);
    await waitFor('release', 20_000, async () =>
      (await getVmState(vm.name)) === 'draining' ? undefined : true,
    );
    const releasedAt = Date.now();
    await delay(Math.max(0, frozenAt + FREEZE_MS - Date.now()));
    frozen.entry.resume();
    await delay(2000);
    expect(await listExecutionsSince(vm, releasedAt)).toEqual([]);
  });
});
