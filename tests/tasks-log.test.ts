import type { TaskRecord } from '@sequoiaquay/core';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { callJson, SECRET } from './support/cluster';
import { BinaryProcess } from './support/process';
import {
  getTask,
  listRuns,
  listRunsOf,
  listTaskRecords,
  startTaskCluster,
  submitTask,
  waitForState,
} from './support/task-cluster';
import { waitFor } from './support/wait-for';

const SEED = 4713;
const RETENTION_RECORDS = 2000;
const MAX_CANCEL_DELAY_MS = 700;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTaskCluster(
    {
      entries: 2,
      platformArgs: ['--seed', String(SEED), '--retention', String(RETENTION_RECORDS)],
      workers: 2,
    },
    { retentionRecords: RETENTION_RECORDS },
  );
});

afterAll(async () => {
  await cluster.stop();
});

function entryUrl(index: number): string {
  return cluster.entries[index]?.url ?? '';
}

function setFaults(faults: Record<string, unknown>): Promise<unknown> {
  return cluster.callAdminApi('PUT', '/faults', faults);
}

async function countAppends(): Promise<number> {
  return (await cluster.callAdminApi<{ appends: number }>('GET', '/counters')).appends;
}

/** Appends records of an unknown kind, which makes the log trim older records. */
async function appendFillers(count: number): Promise<void> {
  const records = Array.from({ length: count }, () => ({ kind: 'filler' }));
  await callJson(
    `${cluster.platformUrl}/v1/streams/work/records`,
    'POST',
    { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    { records },
  );
}

/** Returns the number of records after the newest one that holds the complete state of a task. */
async function countRecordsAfterSnapshot(id: string): Promise<number> {
  const { records } = await cluster.callAdminApi<{ records: { offset: number; value: TaskRecord }[] }>(
    'GET',
    '/streams/work',
  );
  const complete = records.findLast(({ value }) =>
    value.kind === 'task' ? value.id === id : value.kind === 'task-state' && value.task === id,
  );
  return complete === undefined ? Infinity : (records.at(-1)?.offset ?? 0) - complete.offset;
}

describe(`tasks during faults of the log (seed ${SEED})`, () => {
  // Guards against tasks that stop, start again or lose their result during an outage of the log.
  it('continues running tasks during an outage and refuses new ones with not-run', async () => {
    const key = { 'idempotency-key': 'outage' };
    const running = await submitTask(entryUrl(0), 'charge', { nonce: 'outage', runMs: 2500 }, key);
    await waitForState(entryUrl(0), running.id, 'running');
    await setFaults({ down: true });
    const refused = await submitTask(
      entryUrl(1),
      'render',
      { nonce: 'refused', runMs: 10 },
      { 'sequoiaquay-deadline-ms': '800' },
    );
    expect(refused).toMatchObject({ outcome: 'not-run', reason: 'task-unavailable', status: 503 });
    // The outage lasts longer than the lease (2000 ms) and the run.
    await delay(2800);
    expect((await listRunsOf(cluster, 'outage')).map((run) => run.state)).toEqual(['done']);
    await setFaults({});
    expect((await waitForState(entryUrl(1), running.id, 'done')).attempt).toBe(1);
    await delay(300);
    expect(await listRunsOf(cluster, 'outage')).toHaveLength(1);
    expect(await listRunsOf(cluster, 'refused')).toHaveLength(0);
  });

  // Guards against tasks that are accepted or started twice because an append is stored without an answer.
  it('accepts and runs each task once when append answers are lost', async () => {
    await setFaults({ loseAppendAnswers: 0.5 });
    const nonces = Array.from({ length: 24 }, (_, n) => `lossy-${n}`);
    const submitted = await Promise.all(
      nonces.map((nonce, n) =>
        submitTask(entryUrl(n % 2), 'charge', { nonce, runMs: 50 }, { 'idempotency-key': nonce }),
      ),
    );
    expect(submitted.map((one) => one.status)).toEqual(Array(24).fill(202));
    for (const one of submitted) {
      await waitForState(entryUrl(0), one.id, 'done');
    }
    await setFaults({});
    const { lostAnswers } = await cluster.callAdminApi<{ lostAnswers: number }>('GET', '/counters');
    expect(lostAnswers).toBeGreaterThan(5);
    for (const nonce of nonces) {
      expect(await listRunsOf(cluster, nonce)).toHaveLength(1);
    }
  });

  // Guards against one append per cancellation, and against cancelled tasks that keep their capacity.
  it('cancels hundreds of tasks with few appends and frees their capacity immediately', async () => {
    const tasks = await Promise.all(
      Array.from({ length: 300 }, (_, n) =>
        submitTask(entryUrl(n % 2), 'render', { nonce: `c-${n}`, runMs: 60_000 }),
      ),
    );
    await waitFor('full workers', 5000, async () => {
      const views = await Promise.all(tasks.slice(0, 40).map((task) => getTask(entryUrl(0), task.id)));
      return views.filter((one) => one.state === 'running').length >= 8 ? true : undefined;
    });
    const before = await countAppends();
    const cancelled = await Promise.all(
      tasks.map((task, n) =>
        callJson<{ state: string }>(`${entryUrl(n % 2)}/v1/tasks/${task.id}`, 'DELETE', {}),
      ),
    );
    expect(cancelled.map((task) => task.state)).toEqual(Array(300).fill('cancelled'));
    expect((await countAppends()) - before).toBeLessThan(60);
    // Without a stop, the runs continue until their leases expire, at least 1900 ms after the last renewal.
    const cancelledAt = Date.now();
    await delay(MAX_CANCEL_DELAY_MS);
    const runs = (await listRuns(cluster)).filter((run) => run.nonce.startsWith('c-'));
    expect(runs.length).toBeGreaterThanOrEqual(8);
    expect(runs.every((run) => (run.endedAt ?? Infinity) - cancelledAt < MAX_CANCEL_DELAY_MS)).toBe(true);
    const next = await Promise.all(
      Array.from({ length: 8 }, (_, n) => submitTask(entryUrl(0), 'render', { nonce: `n-${n}`, runMs: 10 })),
    );
    await Promise.all(next.map((task) => waitForState(entryUrl(0), task.id, 'done', 2000)));
  });

  // Guards against a task that disappears or starts again once its first record is trimmed.
  it('keeps a task beyond the retention of the log, also for an entry that starts later', async () => {
    const key = { 'idempotency-key': 'long' };
    const long = await submitTask(entryUrl(0), 'charge', { nonce: 'long', runMs: 8000 }, key);
    await waitForState(entryUrl(0), long.id, 'running');
    // Each round waits for the entries, so that records they haven't read aren't trimmed on a slow machine.
    for (let round = 0; round < 10; round += 1) {
      await appendFillers(300);
      await waitFor('a recent record with the complete state of the task', 5000, async () =>
        (await countRecordsAfterSnapshot(long.id)) < RETENTION_RECORDS / 2 ? true : undefined,
      );
    }
    const kinds = (await listTaskRecords(cluster, long.id)).map((record) => record.kind);
    expect(kinds).not.toContain('task');
    expect(kinds).toContain('task-state');
    const stopped = cluster.entries[1];
    await stopped?.entry.stop('SIGKILL');
    const restarted = new BinaryProcess(
      'sequoiaquay-entry',
      ['--config', join(cluster.directory, 'entry-1.json')],
      join(cluster.directory, 'processes.log'),
    );
    try {
      expect((await waitForState(entryUrl(1), long.id, 'running')).attempt).toBe(1);
      await waitFor('readiness', 5000, () => callJson(`${entryUrl(1)}/readyz`, 'GET', {}));
      await cluster.entries[0]?.entry.stop('SIGKILL');
      const repeated = await submitTask(entryUrl(1), 'charge', { nonce: 'long', runMs: 8000 }, key);
      expect(repeated).toMatchObject({ id: long.id, status: 202 });
      expect((await waitForState(entryUrl(1), long.id, 'done')).attempt).toBe(1);
      expect(await listRunsOf(cluster, 'long')).toHaveLength(1);
    } finally {
      await restarted.stop('SIGKILL');
    }
  });
});
