import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster, EntryVm } from './support/cluster';
import {
  getTask,
  listRunsOf,
  listTaskRecords,
  startTaskCluster,
  submitTask,
  waitForState,
} from './support/task-cluster';

const SEED = 4711;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTaskCluster({ entries: 3, platformArgs: ['--seed', String(SEED)], workers: 3 });
});

afterAll(async () => {
  await cluster.stop();
});

function entryUrl(index: number): string {
  return cluster.entries[index]?.url ?? '';
}

/** Returns the entry that holds the lease of a task, according to the log. */
async function findHolder(id: string): Promise<EntryVm> {
  const records = await listTaskRecords(cluster, id);
  const lease = records.find((record) => record.kind === 'task-lease');
  const holder = cluster.entries.find((vm) => vm.name === lease?.entry);
  if (holder === undefined) {
    throw new Error(`task ${id} has no lease`);
  }
  return holder;
}

function urlOfOtherEntry(entry: EntryVm): string {
  return cluster.entries.find((vm) => vm !== entry)?.url ?? '';
}

describe(`tasks and the entries that hold their leases (seed ${SEED})`, () => {
  // Guards against an acceptance that isn't durable, and against a repeated key that creates or starts a
  // second task.
  it('accepts one task per key, runs it once, and refuses another body', async () => {
    const key = { 'idempotency-key': 'charge-1' };
    const first = await submitTask(entryUrl(0), 'charge', { nonce: 'charge-1', runMs: 200 }, key);
    const repeated = await submitTask(entryUrl(1), 'charge', { nonce: 'charge-1', runMs: 200 }, key);
    const other = await submitTask(entryUrl(2), 'charge', { nonce: 'other', runMs: 200 }, key);
    expect([first.status, repeated.status, other.status]).toEqual([202, 202, 422]);
    expect(repeated.id).toBe(first.id);
    const done = await waitForState(entryUrl(2), first.id, 'done');
    expect(JSON.parse(done.answer?.body ?? '')).toMatchObject({ attempt: 1 });
    expect(await listRunsOf(cluster, 'charge-1')).toHaveLength(1);
  });

  // Guards against a task that is lost with its lease holder, or started again by the next holder.
  it('continues the same attempt when the lease holder is killed', async () => {
    const submitted = await submitTask(
      entryUrl(0),
      'charge',
      { nonce: 'kill', runMs: 2500 },
      { 'idempotency-key': 'kill' },
    );
    await waitForState(entryUrl(0), submitted.id, 'running');
    await delay(300);
    const holder = await findHolder(submitted.id);
    await holder.entry.stop('SIGKILL');
    const done = await waitForState(urlOfOtherEntry(holder), submitted.id, 'done');
    expect(done.attempt).toBe(1);
    expect(await listRunsOf(cluster, 'kill')).toHaveLength(1);
    cluster.entries.splice(cluster.entries.indexOf(holder), 1);
  });

  // Guards against two results for one task, and against starts by a holder whose lease has expired.
  it('stores one result when the holder is frozen beyond its lease and resumed', async () => {
    const submitted = await submitTask(entryUrl(0), 'render', { nonce: 'freeze', runMs: 2800 });
    await waitForState(entryUrl(0), submitted.id, 'running');
    await delay(300);
    const holder = await findHolder(submitted.id);
    holder.entry.freeze();
    const done = await waitForState(urlOfOtherEntry(holder), submitted.id, 'done');
    holder.entry.resume();
    await delay(1500);
    expect(await getTask(urlOfOtherEntry(holder), submitted.id)).toEqual(done);
    expect(await getTask(holder.url, submitted.id)).toEqual(done);
    expect(await listRunsOf(cluster, 'freeze')).toHaveLength(done.attempt);
  });
});
