import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { NodeAnswer } from './support/node-cluster';
import { createJobId, createRunningJobs, createText, JOBS_TOPIC, NodeCluster } from './support/node-cluster';

const SEED = 31;
const NODE_COUNT = 4;
const ALL_NODES = [0, 1, 2, 3];

/** Rate of a narrow link, in bytes per second. */
const NARROW_BYTES_PER_S = 840_000;

const EARLIER_JOBS = 4000;
const BODY_BYTES = 1200;

/** Time for the start of the processes and for the records that are added during the load, in ms. */
const LOAD_MARGIN_MS = 5000;

/** Time within which callers need an answer, and within which a refusal must come, in ms. */
const CALLER_TIMEOUT_MS = 3000;
const MAX_REFUSAL_MS = 1000;

/** Part of a core that a node behind a narrow link has. */
const SMALL_NODE_CORES = 0.324;

let cluster: NodeCluster;
let loadMs: number;
const random = seededRandom(SEED);
const acceptedIds: string[] = [];
let jobCount = 0;

beforeAll(async () => {
  const earlierJobs = createRunningJobs(EARLIER_JOBS, BODY_BYTES, SEED);
  cluster = await NodeCluster.start({ nodes: NODE_COUNT }, earlierJobs);
  loadMs = (cluster.store.newestBytes(JOBS_TOPIC) / NARROW_BYTES_PER_S) * 1000;
});

afterAll(async () => {
  await cluster.stop();
});

async function submitJob(node: number): Promise<{ answer: NodeAnswer; id: string }> {
  const id = createJobId(SEED + 1, jobCount);
  jobCount += 1;
  const text = createText(BODY_BYTES, random);
  const answer = await cluster.submit(node, id, text, CALLER_TIMEOUT_MS);
  if (answer.status === 200) {
    acceptedIds.push(id);
  }
  return { answer, id };
}

function isRefusal(answer: NodeAnswer): boolean {
  return answer.status === 503 && Number(answer.retryAfter) > 0 && answer.durationMs < MAX_REFUSAL_MS;
}

describe(`load of the jobs by restarted nodes (seed ${SEED})`, () => {
  // Guards against requests that hang or get false answers at a node that has not loaded the jobs.
  it('accepts and answers jobs while another node loads', async () => {
    const loading = NODE_COUNT - 1;
    cluster.setRate(NARROW_BYTES_PER_S, loading);
    await cluster.kill(loading);
    cluster.restart(loading);
    const statusesByCall: Record<string, Record<number, number>> = { show: {}, submit: {} };
    const refusedIds: string[] = [];
    const wrong: unknown[] = [];
    const record = (call: string, answer: NodeAnswer): void => {
      const statuses = (statusesByCall[call] ??= {});
      statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
      if (answer.status !== 200 && !isRefusal(answer)) {
        wrong.push({ call, ...answer });
      }
    };
    // Until the process of the node listens, connections are refused.
    await cluster.waitUntilListening(loading);
    const deadline = performance.now() + loadMs;
    while (performance.now() < deadline && !(await cluster.isReady(loading))) {
      const { answer, id } = await submitJob(0);
      expect(answer.status).toBe(200);
      const [elsewhere, here, own] = await Promise.all([
        cluster.show(1, id, CALLER_TIMEOUT_MS),
        cluster.show(loading, id, CALLER_TIMEOUT_MS),
        submitJob(loading),
      ]);
      expect(elsewhere.status).toBe(200);
      record('show', here);
      record('submit', own.answer);
      if (own.answer.status === 503) {
        refusedIds.push(own.id);
      }
      await delay(100);
    }
    console.log(`answers of the loading node by status: ${JSON.stringify(statusesByCall)}`);
    expect(wrong).toEqual([]);
    expect(acceptedIds.length).toBeGreaterThan(10);
    for (const id of refusedIds) {
      expect((await cluster.show(0, id, CALLER_TIMEOUT_MS)).status).toBe(410);
    }
    const accepted = await Promise.all(acceptedIds.map((id) => cluster.show(0, id, CALLER_TIMEOUT_MS)));
    expect(new Set(accepted.map((answer) => answer.status))).toEqual(new Set([200]));
  });

  // Guards against nodes that never load the jobs through a link that needs seconds for them.
  it('answers for every accepted job after all nodes lose power', async () => {
    cluster.setRate(NARROW_BYTES_PER_S, ...ALL_NODES);
    for (let count = 0; count < 30; count += 1) {
      const { answer } = await submitJob(count % (NODE_COUNT - 1));
      expect(answer.status).toBe(200);
    }
    await cluster.kill(...ALL_NODES);
    const restartedAt = performance.now();
    const deadlineMs = loadMs + LOAD_MARGIN_MS;
    for (const index of ALL_NODES) {
      cluster.restart(index);
    }
    const readyMs = await Promise.all(
      ALL_NODES.map(async (index) => {
        await cluster.waitUntilReady(index, deadlineMs).catch(() => undefined);
        return (await cluster.isReady(index)) ? Math.round(performance.now() - restartedAt) : 'not ready';
      }),
    );
    console.log(`ready after ${readyMs.join(', ')} ms; the links need ${Math.round(loadMs)} ms`);
    const missing: unknown[] = [];
    for (const index of ALL_NODES) {
      const answers = await Promise.all(acceptedIds.map((id) => cluster.show(index, id, CALLER_TIMEOUT_MS)));
      const refused = answers.filter((answer) => answer.status !== 200);
      if (refused.length > 0) {
        missing.push({
          jobs: refused.length,
          node: index,
          of: acceptedIds.length,
          status: refused[0]?.status,
        });
      }
    }
    expect(missing).toEqual([]);
    expect(readyMs).not.toContain('not ready');
  });

  // Guards against a load that a third of a core can't do in the time that a narrow link needs for the records.
  it('loads with less processor time than a small node has while its link carries the records', async () => {
    cluster.setRate(undefined, ...ALL_NODES);
    await cluster.waitUntilReady(1, loadMs + LOAD_MARGIN_MS);
    const { answer, id } = await submitJob(1);
    expect(answer.status).toBe(200);
    await cluster.kill(0);
    cluster.restart(0);
    await cluster.waitUntilReady(0, loadMs + LOAD_MARGIN_MS);
    expect((await cluster.show(0, id, CALLER_TIMEOUT_MS)).status).toBe(200);
    const usedS = cluster.processorSeconds(0);
    const givenS = (SMALL_NODE_CORES * loadMs) / 1000;
    console.log(`processor time until the first answer: ${usedS} s of ${givenS.toFixed(2)} s`);
    expect(usedS).toBeLessThan(givenS);
  });
});

describe(`load of the jobs from a store with a short history (seed ${SEED})`, () => {
  const HISTORY_MS = 1500;
  const SHORT_JOBS = 6000;
  const SHORT_BODY_BYTES = 20;
  const RATE_BYTES_PER_S = 1_250_000;
  let shortCluster: NodeCluster;

  beforeAll(async () => {
    const earlierJobs = createRunningJobs(SHORT_JOBS, SHORT_BODY_BYTES, SEED);
    shortCluster = await NodeCluster.start({ historyMs: HISTORY_MS, nodes: 2 }, earlierJobs);
  });

  afterAll(async () => {
    await shortCluster.stop();
  });

  // Guards against a load that begins again whenever the records after its first page have been dropped.
  it('loads while the store drops its history faster than the load takes', async () => {
    const loadTimeMs = (shortCluster.store.newestBytes(JOBS_TOPIC) / RATE_BYTES_PER_S) * 1000;
    expect(loadTimeMs).toBeGreaterThan(2 * HISTORY_MS);
    shortCluster.setRate(RATE_BYTES_PER_S, 1);
    await shortCluster.kill(1);
    shortCluster.restart(1);
    const deadline = performance.now() + loadTimeMs + LOAD_MARGIN_MS;
    const ids: string[] = [];
    let isReady = false;
    while (!isReady && performance.now() < deadline) {
      const id = createJobId(SEED + 2, ids.length);
      expect((await shortCluster.submit(0, id, 'short', CALLER_TIMEOUT_MS)).status).toBe(200);
      ids.push(id);
      await delay(50);
      isReady = await shortCluster.isReady(1);
    }
    const answers = await Promise.all(ids.map((id) => shortCluster.show(1, id, CALLER_TIMEOUT_MS)));
    const statuses = new Set(answers.map((answer) => answer.status));
    expect({ isReady, statuses }).toEqual({ isReady: true, statuses: new Set([200]) });
  });
});
