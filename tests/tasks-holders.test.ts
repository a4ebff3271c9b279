import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster, EntryVm } from './support/cluster';
import { recordsOf, runsOf, startTaskCluster, submit, view, waitState } from './support/task-cluster';

const SEED = 4711;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTaskCluster({ entries: 3, platformArgs: ['--seed', String(SEED)], workers: 3 });
});

afterAll(async () => {
  await cluster.stop();
});

function url(index: number): string {
  return cluster.entries[index]?.url ?? '';
}

/** Entry that holds the lease of a task, from the log's own records. */
async function holderOf(id: string): Promise<EntryVm> {
  const records = await recordsOf(cluster, id);
  const lease = records.find((record) => record.kind === 'task-lease');
  const holder = cluster.entries.find((vm) => vm.name === lease?.entry);
  if (holder === undefined) {
    throw new Error(`task ${id} has no lease`);
  }
  return holder;
}

function otherThan(entry: EntryVm): string {
  return cluster.entries.find((vm) => vm !== entry)?.url ?? '';
}

describe(`tasks and the entries that drive them (seed ${SEED})`, () => {
  // Guards against an acceptance that isn't durable, a key that gives two tasks, and a second start.
  it('accepts a task once for a key, runs it once, and refuses another body', async () => {
    const key = { 'idempotency-key': 'charge-1' };
    const first = await submit(url(0), 'charge', { nonce: 'charge-1', runMs: 200 }, key);
    const again = await submit(url(1), 'charge', { nonce: 'charge-1', runMs: 200 }, key);
    const other = await submit(url(2), 'charge', { nonce: 'other', runMs: 200 }, key);
    expect([first.status, again.status, other.status]).toEqual([202, 202, 422]);
    expect(again.id).toBe(first.id);
    const done = await waitState(url(2), first.id, 'done');
    expect(JSON.parse(done.answer?.body ?? '')).toMatchObject({ attempt: 1 });
    expect(await runsOf(cluster, 'charge-1')).toHaveLength(1);
  });

  // Guards against a task that is lost with the entry that drives it, or started again by the next one.
  it('goes on with the same attempt when the entry that drives it is killed', async () => {
    const submitted = await submit(
      url(0),
      'charge',
      { nonce: 'kill', runMs: 2500 },
      { 'idempotency-key': 'kill' },
    );
    await waitState(url(0), submitted.id, 'running');
    await delay(300);
    const holder = await holderOf(submitted.id);
    await holder.entry.stop('SIGKILL');
    const done = await waitState(otherThan(holder), submitted.id, 'done');
    expect(done.attempt).toBe(1);
    expect(await runsOf(cluster, 'kill')).toHaveLength(1);
    cluster.entries.splice(cluster.entries.indexOf(holder), 1);
  });

  // Guards against two results for one task, and against work that isn't repeatable started by a late holder.
  it('takes one result when the holder is frozen past its lease and resumed', async () => {
    const submitted = await submit(url(0), 'render', { nonce: 'freeze', runMs: 2800 });
    await waitState(url(0), submitted.id, 'running');
    await delay(300);
    const holder = await holderOf(submitted.id);
    holder.entry.freeze();
    const done = await waitState(otherThan(holder), submitted.id, 'done');
    holder.entry.resume();
    await delay(1500);
    expect(await view(otherThan(holder), submitted.id)).toEqual(done);
    expect(await view(holder.url, submitted.id)).toEqual(done);
    expect(await runsOf(cluster, 'freeze')).toHaveLength(done.attempt);
  });
});
