import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { callJson, SECRET } from './support/cluster';
import { BinaryProcess } from './support/process';
import {
  allRuns,
  recordsOf,
  runsOf,
  startTaskCluster,
  submit,
  view,
  waitState,
} from './support/task-cluster';
import { waitFor } from './support/wait-for';

const SEED = 4713;
const RETENTION = 2000;
const CANCEL_STOP_MS = 700;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTaskCluster(
    { entries: 2, platformArgs: ['--seed', String(SEED), '--retention', String(RETENTION)], workers: 2 },
    { retentionRecords: RETENTION },
  );
});

afterAll(async () => {
  await cluster.stop();
});

function url(index: number): string {
  return cluster.entries[index]?.url ?? '';
}

function setFaults(faults: Record<string, unknown>): Promise<unknown> {
  return cluster.admin('PUT', '/faults', faults);
}

async function appends(): Promise<number> {
  return (await cluster.admin<{ appends: number }>('GET', '/counters')).appends;
}

/** Appends records of an unknown kind, so that older records are trimmed. */
async function fill(count: number): Promise<void> {
  const records = Array.from({ length: count }, () => ({ kind: 'filler' }));
  await callJson(
    `${cluster.platformUrl}/v1/streams/work/records`,
    'POST',
    { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    { records },
  );
}

describe(`tasks and the faults of the log (seed ${SEED})`, () => {
  // Guards against tasks that stop, start again or lose their result because the log is down.
  it('goes on with running tasks in an outage and refuses new ones not-run', async () => {
    const key = { 'idempotency-key': 'outage' };
    const running = await submit(url(0), 'charge', { nonce: 'outage', runMs: 2500 }, key);
    await waitState(url(0), running.id, 'running');
    await setFaults({ down: true });
    const refused = await submit(
      url(1),
      'render',
      { nonce: 'refused', runMs: 10 },
      { 'sequoiaquay-deadline-ms': '800' },
    );
    expect(refused).toMatchObject({ outcome: 'not-run', reason: 'task-unavailable', status: 503 });
    // The outage outlasts the lease in the log (2000 ms) and the run.
    await delay(2800);
    expect((await runsOf(cluster, 'outage')).map((run) => run.state)).toEqual(['done']);
    await setFaults({});
    expect((await waitState(url(1), running.id, 'done')).attempt).toBe(1);
    await delay(300);
    expect(await runsOf(cluster, 'outage')).toHaveLength(1);
    expect(await runsOf(cluster, 'refused')).toHaveLength(0);
  });

  // Guards against tasks accepted or started twice because a write took effect without an answer.
  it('accepts and runs each task once when answers of appends are lost', async () => {
    await setFaults({ loseAppendAnswers: 0.5 });
    const nonces = Array.from({ length: 24 }, (_, n) => `lossy-${n}`);
    const submitted = await Promise.all(
      nonces.map((nonce, n) =>
        submit(url(n % 2), 'charge', { nonce, runMs: 50 }, { 'idempotency-key': nonce }),
      ),
    );
    expect(submitted.map((one) => one.status)).toEqual(Array(24).fill(202));
    for (const one of submitted) {
      await waitState(url(0), one.id, 'done');
    }
    await setFaults({});
    const { lostAnswers } = await cluster.admin<{ lostAnswers: number }>('GET', '/counters');
    expect(lostAnswers).toBeGreaterThan(5);
    for (const nonce of nonces) {
      expect(await runsOf(cluster, nonce)).toHaveLength(1);
    }
  });

  // Guards against a cancellation that costs an append each, or leaves the places taken.
  it('cancels hundreds of tasks with few appends and frees their places at once', async () => {
    const tasks = await Promise.all(
      Array.from({ length: 300 }, (_, n) => submit(url(n % 2), 'render', { nonce: `c-${n}`, runMs: 60_000 })),
    );
    await waitFor('full workers', 5000, async () => {
      const views = await Promise.all(tasks.slice(0, 40).map((task) => view(url(0), task.id)));
      return views.filter((one) => one.state === 'running').length >= 8 ? true : undefined;
    });
    const before = await appends();
    const cancelled = await Promise.all(
      tasks.map((task, n) => callJson<{ state: string }>(`${url(n % 2)}/v1/tasks/${task.id}`, 'DELETE', {})),
    );
    expect(cancelled.map((task) => task.state)).toEqual(Array(300).fill('cancelled'));
    expect((await appends()) - before).toBeLessThan(60);
    // Without a stop the runs would go on until their leases lapse, 1900 ms or more after the last renewal.
    const cancelledAt = Date.now();
    await delay(CANCEL_STOP_MS);
    const runs = (await allRuns(cluster)).filter((run) => run.nonce.startsWith('c-'));
    expect(runs.length).toBeGreaterThanOrEqual(8);
    expect(runs.every((run) => (run.endedAt ?? Infinity) - cancelledAt < CANCEL_STOP_MS)).toBe(true);
    const next = await Promise.all(
      Array.from({ length: 8 }, (_, n) => submit(url(0), 'render', { nonce: `n-${n}`, runMs: 10 })),
    );
    await Promise.all(next.map((task) => waitState(url(0), task.id, 'done', 2000)));
  });

  // Guards against a task that disappears, or starts again, once its first record is trimmed.
  it('keeps a long task that outlives the retention of the log, also for an entry that starts later', async () => {
    const key = { 'idempotency-key': 'long' };
    const long = await submit(url(0), 'charge', { nonce: 'long', runMs: 8000 }, key);
    await waitState(url(0), long.id, 'running');
    for (let round = 0; round < 12; round += 1) {
      await fill(400);
      await delay(100);
    }
    const kinds = (await recordsOf(cluster, long.id)).map((record) => record.kind);
    expect(kinds).not.toContain('task');
    expect(kinds).toContain('task-state');
    const late = cluster.entries[1];
    await late?.entry.stop('SIGKILL');
    const restarted = new BinaryProcess(
      'sequoiaquay-entry',
      ['--config', join(cluster.directory, 'entry-1.json')],
      join(cluster.directory, 'processes.log'),
    );
    try {
      expect((await waitState(url(1), long.id, 'running')).attempt).toBe(1);
      await waitFor('readiness', 5000, () => callJson(`${url(1)}/readyz`, 'GET', {}));
      await cluster.entries[0]?.entry.stop('SIGKILL');
      const again = await submit(url(1), 'charge', { nonce: 'long', runMs: 8000 }, key);
      expect(again).toMatchObject({ id: long.id, status: 202 });
      expect((await waitState(url(1), long.id, 'done')).attempt).toBe(1);
      expect(await runsOf(cluster, 'long')).toHaveLength(1);
    } finally {
      await restarted.stop('SIGKILL');
    }
  });
});
