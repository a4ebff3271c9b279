import type { WorkerRunRecord } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster, Worker } from './support/cluster';
import { callJson } from './support/cluster';
import {
  listVms,
  recordsOf,
  runsOf,
  setWorkerFaults,
  startTaskCluster,
  submit,
  TASK_TEAM,
  view,
  waitState,
} from './support/task-cluster';
import { waitFor } from './support/wait-for';

const SEED = 4712;
const URGENT_START_MS = 4600;

let cluster: Cluster;
let url: string;

beforeAll(async () => {
  cluster = await startTaskCluster({ entries: 2, platformArgs: ['--seed', String(SEED)], workers: 4 });
  url = cluster.entries[0]?.url ?? '';
});

afterAll(async () => {
  await cluster.stop();
});

async function workerOf(id: string): Promise<Worker> {
  const seen = await waitState(url, id, 'running');
  const worker = cluster.workers.find((one) => one.name === seen.worker);
  if (worker === undefined) {
    throw new Error(`task ${id} runs nowhere`);
  }
  return worker;
}

function workerUrl(index: number): string {
  return `http://${cluster.workers[index]?.address ?? ''}`;
}

async function restart(worker: Worker): Promise<void> {
  const index = cluster.workers.indexOf(worker);
  await worker.process.stop('SIGKILL');
  await cluster.startWorker(worker.name, Number(worker.address.split(':')[1]), index);
}

describe(`tasks and the workers that run them (seed ${SEED})`, () => {
  // Guards against a planned stop that cuts a task, and a VM released while a task runs on it.
  it('checkpoints or waits for the tasks of a draining worker before it is released', async () => {
    const movable = await submit(url, 'render', { nonce: 'movable', runMs: 2500 });
    const worker = await workerOf(movable.id);
    const whole = await waitFor('a task without checkpoints on the worker', 5000, async () => {
      const nonce = `whole-${Math.round(performance.now())}`;
      const one = await submit(url, 'render', { checkpoint: false, nonce, runMs: 1500 });
      return (await workerOf(one.id)) === worker ? { id: one.id, nonce } : undefined;
    });
    await cluster.operate(TASK_TEAM, 'POST', `/vms/${worker.name}/drain`, { purpose: 'reboot' });
    await waitFor('release of the worker', 5000, async () =>
      (await listVms(cluster)).find((vm) => vm.id === worker.name)?.state === 'released' ? true : undefined,
    );
    expect((await view(url, whole.id)).state).toBe('done');
    expect(await runsOf(cluster, whole.nonce)).toHaveLength(1);
    const moved = await waitState(url, movable.id, 'done');
    expect(moved.tries.map((one) => one.cause)).toEqual(['moved']);
    const [first, second] = await runsOf(cluster, 'movable');
    expect(first).toMatchObject({ on: worker.name, state: 'checkpointed' });
    expect(second?.continuedFrom).toBeGreaterThan(0);
    expect(second?.on).not.toBe(worker.name);
  });

  // Guards against urgent tasks that wait for long ones on full workers.
  it('starts an urgent task in time on full workers by moving another', async () => {
    const long = await Promise.all(
      Array.from({ length: 16 }, (_, n) => submit(url, 'render', { nonce: `long-${n}`, runMs: 60_000 })),
    );
    await delay(800);
    const before = Date.now();
    const urgent = await submit(url, 'rush', { nonce: 'rush', runMs: 100 });
    await waitState(url, urgent.id, 'done');
    const [run] = await runsOf(cluster, 'rush');
    const causes = await Promise.all(
      long.map(async (task) => (await view(url, task.id)).tries.map((one) => one.cause)),
    );
    expect(causes.flat()).toContain('moved');
    expect((run?.startedAt ?? Number.POSITIVE_INFINITY) - before).toBeLessThan(URGENT_START_MS);
    await Promise.all(long.map((task) => fetch(`${url}/v1/tasks/${task.id}`, { method: 'DELETE' })));
  });

  // Guards against a job that is tried for ever, and against a caller that isn't told why it failed.
  it('ends a job that can never run after tries on different workers, with the reasons', async () => {
    const submitted = await submit(url, 'index', { fail: true, nonce: 'never', runMs: 10 });
    const failed = await waitState(url, submitted.id, 'failed');
    expect(new Set(failed.tries.map((one) => one.worker)).size).toBe(3);
    expect(failed.tries.map((one) => one.reason)).toEqual(Array(3).fill('the work fails everywhere'));
    expect(await runsOf(cluster, 'never')).toHaveLength(3);
  });

  // Guards against work lost with its worker, and against work that isn't repeatable started again.
  it('starts repeatable tasks of a killed worker elsewhere and ends the others unknown', async () => {
    const render = await submit(url, 'render', { nonce: 'lost-render', runMs: 2000 });
    const worker = await workerOf(render.id);
    const charge = await waitFor('a charge on the same worker', 5000, async () => {
      const nonce = `lost-charge-${Math.round(performance.now())}`;
      const one = await submit(url, 'charge', { nonce, runMs: 4000 }, { 'idempotency-key': nonce });
      return (await workerOf(one.id)) === worker ? { id: one.id, nonce } : undefined;
    });
    await delay(500);
    await worker.process.stop('SIGKILL');
    expect((await waitState(url, charge.id, 'unknown')).tries.map((one) => one.cause)).toEqual(['lapsed']);
    expect((await waitState(url, render.id, 'done')).attempt).toBe(2);
    expect(await runsOf(cluster, charge.nonce)).toHaveLength(0);
    const leases = (await recordsOf(cluster, charge.id)).filter((record) => record.kind === 'task-lease');
    expect(leases).toHaveLength(1);
    await restart(worker);
  });

  // Guards against taking a restarted worker's "unknown attempt" for "never started".
  it("doesn't start work that isn't repeatable again when its worker restarts at once", async () => {
    const key = { 'idempotency-key': 'restart' };
    const submitted = await submit(url, 'charge', { nonce: 'restart', runMs: 4000 }, key);
    const worker = await workerOf(submitted.id);
    await waitFor('start of the charge', 3000, async () => (await runsOf(cluster, 'restart'))[0]);
    await restart(worker);
    expect((await waitState(url, submitted.id, 'unknown')).tries.map((one) => one.cause)).toEqual([
      'stopped',
    ]);
    expect(await runsOf(cluster, 'restart')).toHaveLength(0);
  });

  // Guards against a worker that fails everything and so always has room for the next task.
  it('sets aside a worker that fails everything, and probes it again', async () => {
    const first = await submit(url, 'render', { nonce: 'first', runMs: 10 });
    const answer = (await waitState(url, first.id, 'done')).answer?.body ?? '';
    const index = cluster.workers.findIndex((worker) => answer.includes(worker.name));
    const spoilt = cluster.workers[index]?.name ?? '';
    await setWorkerFaults(cluster, index, { failAll: true });
    const wave = (prefix: string) =>
      Promise.all(
        Array.from({ length: 12 }, (_, n) =>
          submit(url, n % 2 === 0 ? 'render' : 'index', { nonce: `${prefix}-${n}`, runMs: 150 }),
        ),
      );
    for (const task of await wave('spoilt')) {
      await waitState(url, task.id, 'done');
    }
    const spoiltRuns = await callJson<WorkerRunRecord[]>(`${workerUrl(index)}/admin/runs`, 'GET', {});
    expect(spoiltRuns.filter((run) => run.state === 'failed').length).toBeGreaterThanOrEqual(3);
    const later = await wave('after');
    const tries = await Promise.all(
      later.map(async (task) => (await waitState(url, task.id, 'done')).tries.length),
    );
    expect(tries.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(1);
    await setWorkerFaults(cluster, index, {});
    await waitFor('use of the worker after a probe', 8000, async () => {
      const [task] = await wave('probe');
      const seen = task === undefined ? undefined : await waitState(url, task.id, 'done');
      return seen?.answer?.body.includes(spoilt) === true ? true : undefined;
    });
  });
});
