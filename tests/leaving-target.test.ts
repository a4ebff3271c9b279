import type { Execution } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster, EntryVm, Executor } from './support/cluster';
import { startBookings, TEAM } from './support/bookings';
import { call } from './support/caller';
import { callJson, SECRET } from './support/cluster';
import { waitFor } from './support/wait-for';

const BOUND_MS = 3000;
const LIST_LAG_MS = 100;

/** Freeze of an entry that is taken for gone, in ms; a control waits for a minute before it says so. */
const FROZEN_MS = 3000;

let cluster: Cluster;
let loading: Promise<unknown>;
const done = new AbortController();

beforeAll(async () => {
  cluster = await startBookings({ entries: 3, executors: 6, faultRoutes: true });
  loading = Promise.all(Array.from({ length: 18 }, (_, index) => lane(index)));
});

afterAll(async () => {
  done.abort();
  await loading;
  await cluster.stop();
});

// A load that never stops, through every entry, so that new work has every chance to reach a leaving VM.
async function lane(index: number): Promise<void> {
  const vm = entry(index % 3);
  for (let round = 0; !done.signal.aborted; round += 1) {
    await call({
      body: { nonce: `lane-${index}-${round}`, runMs: 20 + (index % 5) * 20 },
      headers: { 'sequoiaquay-deadline-ms': '1500' },
      job: 'quote',
      patienceMs: 1500,
      url: vm.url,
    });
    await delay(5);
  }
}

function entry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`no entry ${index}`);
  }
  return vm;
}

function target(index: number): Executor {
  const executor = cluster.executors[index];
  if (executor === undefined) {
    throw new Error(`no executor ${index}`);
  }
  return executor;
}

function startsOn(executor: Executor): Promise<Execution[]> {
  return callJson<Execution[]>(`http://${executor.address}/admin/executions`, 'GET', {});
}

async function startsSince(executor: Executor, since: number): Promise<Execution[]> {
  return (await startsOn(executor)).filter(({ startedAt }) => startedAt > since);
}

async function stateOf(vm: string): Promise<string | undefined> {
  return (await cluster.vmsOf(TEAM)).find(({ id }) => id === vm)?.state;
}

async function drain(executor: Executor): Promise<number> {
  await waitFor(`work on ${executor.name}`, 5000, async () =>
    (await startsSince(executor, Date.now() - 2000)).length > 0 ? true : undefined,
  );
  const answer = await cluster.operate(TEAM, 'POST', `/vms/${executor.name}/drain`, { purpose: 'reboot' });
  expect(answer).toMatchObject({ body: { accepted: true } });
  return Date.now();
}

// What the platform's list says of a target, as an operator of the platform would set it.
async function listAsLeaving(executor: Executor): Promise<number> {
  const vm = await cluster.listed(executor.name);
  await cluster.admin('PUT', `/vms/${executor.name}`, { ...vm, state: 'leaving' });
  return Date.now() + LIST_LAG_MS;
}

async function appendGone(member: string): Promise<void> {
  const { records } = await cluster.admin<{ records: { value: Record<string, unknown> }[] }>(
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

// Guards against work that starts on a VM after it was announced to leave, and against a release while
// an entry could still send to it. The targets' own start times decide.
describe('invariant 6: a leaving target gets no new work', () => {
  it('sends nothing to a draining VM after 3 s and releases it with nothing running', async () => {
    const vm = target(0);
    const straggler = call({
      body: { nonce: 'straggler', runMs: 2500 },
      job: 'quote',
      patienceMs: 6000,
      url: entry(0).url,
    });
    await delay(100);
    const noticeAt = await drain(vm);
    await waitFor('release', 8000, async () => ((await stateOf(vm.name)) === 'draining' ? undefined : true));
    const received = await callJson<{ running: number }>(`http://${vm.address}/admin/received`, 'GET', {});
    expect(received.running).toBe(0);
    await straggler;
    await delay(500);
    expect(await startsSince(vm, noticeAt + BOUND_MS)).toEqual([]);
  });

  it('holds the release back while a listed entry is frozen', async () => {
    const vm = target(1);
    entry(2).entry.freeze();
    const noticeAt = await drain(vm);
    await delay(2500);
    const held = await stateOf(vm.name);
    entry(2).entry.resume();
    expect(held).toBe('draining');
    await waitFor('release', 5000, async () => ((await stateOf(vm.name)) === 'draining' ? undefined : true));
    await delay(500);
    expect(await startsSince(vm, noticeAt + BOUND_MS)).toEqual([]);
  });

  it('heeds the platform list, on an entry that is cut from the platform too', async () => {
    const vm = target(2);
    // This entry learns of nothing by itself: no platform, and its control is gone.
    entry(1).platformRoute?.setFaults({ cut: true });
    await entry(1).control.stop();
    const noticeAt = await listAsLeaving(vm);
    await delay(BOUND_MS + 1500);
    entry(1).platformRoute?.setFaults({});
    await cluster.restartControl(1);
    expect(await startsSince(vm, noticeAt + BOUND_MS)).toEqual([]);
  });

  it('sends nothing to a VM that was released while the entry was frozen and taken for gone', async () => {
    const vm = target(3);
    const frozen = entry(2);
    const frozenAt = Date.now();
    frozen.entry.freeze();
    await drain(vm);
    // A control proposes this when the platform's list has been without the entry's VM for a minute.
    await appendGone(frozen.name);
    await waitFor('release', 20_000, async () =>
      (await stateOf(vm.name)) === 'draining' ? undefined : true,
    );
    const releasedAt = Date.now();
    await delay(Math.max(0, frozenAt + FROZEN_MS - Date.now()));
    frozen.entry.resume();
    await delay(2000);
    expect(await startsSince(vm, releasedAt)).toEqual([]);
  });
});
