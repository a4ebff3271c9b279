import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { CallerAnswer } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { listExecutions, startBookingsCluster, TEAM } from './support/bookings';
import { digestOf, sendRequest } from './support/caller';
import { waitFor } from './support/wait-for';

const SEED = Number(process.env.SEQUOIAQUAY_SEED ?? 7);
const ENTRY_COUNT = 3;

interface StreamRecord {
  value: { claim?: string; id: string; kind: string; outcome?: string };
}

const random = seededRandom(SEED);
let cluster: Cluster;
/** Entries that were ready at the last poll, as a load balancer would use them. */
let readyEntries: EntryVm[] = [];
const balancerAbort = new AbortController();

beforeAll(async () => {
  cluster = await startBookingsCluster({
    entries: ENTRY_COUNT,
    entrySettings: { stopGraceMs: 600 },
    executors: 3,
    faultRoutes: true,
  });
  readyEntries = [...cluster.entries];
  void pollReadiness();
});

afterAll(async () => {
  balancerAbort.abort();
  await cluster.stop();
});

// Polls the readiness of the entries, as the platform's load balancer does.
async function pollReadiness(): Promise<void> {
  while (!balancerAbort.signal.aborted) {
    const ready = await Promise.all(
      cluster.entries.map((vm) =>
        fetch(`${vm.url}/readyz`).then(
          (res) => res.status === 200,
          () => false,
        ),
      ),
    );
    readyEntries = cluster.entries.filter((_, index) => ready[index]);
    await delay(100);
  }
}

function getEntry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`the cluster has no entry ${index}`);
  }
  return vm;
}

function send(
  job: 'charge' | 'quote',
  nonce: string,
  runMs: number,
  url: string,
  options: { kind?: string; work?: Record<string, unknown> } = {},
): Promise<CallerAnswer> {
  return sendRequest({
    body: { nonce, runMs, ...options.work },
    headers: {
      'content-type': `application/json; misbehave=${options.kind ?? 'none'}`,
      'idempotency-key': nonce,
    },
    job,
    timeoutMs: 10_000,
    url,
  });
}

/** Number of requests of a load by outcome and reason. */
type OutcomeCounts = Record<string, number>;

async function generateLoad(name: string, signal: AbortSignal): Promise<OutcomeCounts> {
  const counts: OutcomeCounts = {};
  const runCaller = async (index: number): Promise<void> => {
    for (let round = 0; !signal.aborted; round += 1) {
      const nonce = `${name}-${index}-${round}`;
      const vm = readyEntries[Math.floor(random() * readyEntries.length)];
      const runMs = random() < 0.03 ? 900 : Math.floor(random() * 30);
      const answer = await send(index % 2 === 0 ? 'charge' : 'quote', nonce, runMs, vm?.url ?? '');
      const isOwnAnswer = answer.outcome !== 'answered' || answer.body.includes(digestOf(nonce));
      const label = isOwnAnswer ? `${answer.outcome} ${answer.reason}`.trim() : 'wrong answer';
      counts[label] = (counts[label] ?? 0) + 1;
    }
  };
  await Promise.all(Array.from({ length: 16 }, (_, index) => runCaller(index)));
  return counts;
}

async function runUnderLoad(name: string, task: () => Promise<void>): Promise<OutcomeCounts> {
  const done = new AbortController();
  const loading = generateLoad(name, done.signal);
  await task();
  done.abort();
  const counts = await loading;
  console.log(`seed ${SEED}, ${name}: ${JSON.stringify(counts)}`);
  return counts;
}

function expectNoFailures(counts: OutcomeCounts): void {
  const { answered, 'not-run stopping': stopping, ...others } = counts;
  expect(others).toEqual({});
  expect((answered ?? 0) + (stopping ?? 0)).toBeGreaterThan(200);
}

async function listWorkRecords(): Promise<StreamRecord[]> {
  return (await cluster.callAdminApi<{ records: StreamRecord[] }>('GET', '/streams/work')).records;
}

async function listOpenClaims(): Promise<StreamRecord[]> {
  const records = await listWorkRecords();
  const ended = new Set(records.map(({ value }) => value.claim));
  return records.filter(({ value }) => value.kind === 'claim' && !ended.has(value.id));
}

async function restartEntry(index: number): Promise<void> {
  cluster.restartEntry(index);
  await waitFor('restart', 10_000, async () =>
    readyEntries.includes(getEntry(index)) ? Promise.resolve(true) : Promise.resolve(undefined),
  );
}

// Guards against a planned stop that breaks off a running request, loses the outcome of a claim, or keeps a
// drain from completing.
describe('invariant 7: planned stops are graceful', () => {
  it('stops every entry in turn under load without a failed request or a claim without outcome', async () => {
    const counts = await runUnderLoad('entries stopped', async () => {
      for (let index = 0; index < ENTRY_COUNT; index += 1) {
        await delay(500);
        expect(await getEntry(index).entry.stop('SIGTERM')).toBe(0);
        await restartEntry(index);
      }
    });
    expectNoFailures(counts);
    // An outcome is appended after its answer is sent, so the running entries get two seconds for it.
    await waitFor('an outcome of every claim', 2000, async () =>
      (await listOpenClaims()).length === 0 ? true : undefined,
    );
  });

  it('stops every control in turn under load without a failed request', async () => {
    const counts = await runUnderLoad('controls stopped', async () => {
      for (const vm of cluster.entries) {
        expect(await vm.control.stop('SIGTERM')).toBe(0);
        await delay(700);
        await cluster.restartControl(cluster.entries.indexOf(vm));
        await delay(700);
      }
    });
    expectNoFailures(counts);
  });

  it('finishes a slow request, a large answer, and claimed work whose caller has disconnected', async () => {
    const vm = getEntry(0);
    const slow = send('quote', 'straggler', 3000, vm.url);
    const large = send('quote', 'large', 1, vm.url, {
      kind: 'pieces',
      work: { bytes: 5_000_000, pauseMs: 20 },
    });
    void fetch(`${vm.url}/v1/pools/bookings/jobs/charge`, {
      body: JSON.stringify({ nonce: 'gone', runMs: 2000 }),
      headers: { 'idempotency-key': 'gone' },
      method: 'POST',
      signal: AbortSignal.timeout(400),
    }).catch(() => undefined);
    await delay(500);
    expect(await vm.entry.stop('SIGTERM')).toBe(0);
    expect((await slow).outcome).toBe('answered');
    expect((await large).body.length).toBe(5_000_000);
    await restartEntry(0);
    const repeated = await send('charge', 'gone', 2000, getEntry(1).url);
    expect(repeated.body).toContain(digestOf('gone'));
    expect((await listExecutions(cluster)).filter(({ nonce }) => nonce === 'gone')).toHaveLength(1);
  });

  it('reports a draining VM as clear after its last request while the entry is stopping', async () => {
    const vm = getEntry(1);
    const running = Array.from({ length: 9 }, (_, index) => send('quote', `drain-${index}`, 2000, vm.url));
    await delay(400);
    const target = (await cluster.listVms(TEAM)).find((listed) => listed.id === 'target-0');
    expect(target?.state).toBe('serving');
    await cluster.callOperatorApi(TEAM, 'POST', '/vms/target-0/drain', { purpose: 'reboot' });
    const stopped = vm.entry.stop('SIGTERM');
    const state = async (): Promise<string | undefined> =>
      (await cluster.listVms(TEAM)).find((listed) => listed.id === 'target-0')?.state;
    await delay(700);
    expect(await state()).toBe('draining');
    expect((await Promise.all(running)).map(({ outcome }) => outcome)).toEqual(running.map(() => 'answered'));
    expect(await stopped).toBe(0);
    await waitFor('release', 3000, async () => ((await state()) === 'draining' ? undefined : true));
    await restartEntry(1);
  });

  it('exits within its time limit while the log is down', async () => {
    const vm = getEntry(2);
    expect((await send('charge', 'before-outage', 1, vm.url)).outcome).toBe('answered');
    const running = send('charge', 'outage', 1500, vm.url);
    await delay(400);
    await cluster.callAdminApi('PUT', '/faults', { down: true });
    const startedAt = Date.now();
    expect(await vm.entry.stop('SIGTERM')).toBe(0);
    await cluster.callAdminApi('PUT', '/faults', {});
    expect(Date.now() - startedAt).toBeLessThan(20_000);
    expect((await running).outcome).toBe('answered');
  });
});
