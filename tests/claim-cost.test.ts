import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { startBookingsCluster } from './support/bookings';
import { sendRequest } from './support/caller';

const MANY_CALLERS = 48;
const LOAD_DURATION_MS = 5000;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startBookingsCluster({ entries: 3, executors: 6 });
});

afterAll(async () => {
  await cluster.stop();
});

interface Cost {
  appends: number;
  latenciesMs: number[];
  records: number;
}

async function measureCost(callers: number): Promise<{ charge: Cost; quote: Cost }> {
  const cost = { charge: emptyCost(), quote: emptyCost() };
  const before = await readLogCounts();
  const endsAt = performance.now() + LOAD_DURATION_MS;
  const runCaller = async (index: number): Promise<void> => {
    for (let round = 0; performance.now() < endsAt; round += 1) {
      // Alternates the jobs in one run, so that the load of the machine affects both equally.
      const job = round % 2 === 0 ? 'charge' : 'quote';
      const nonce = `cost-${callers}-${index}-${round}`;
      const startedAt = performance.now();
      const answer = await sendRequest({
        body: { nonce, runMs: 5 },
        headers: { 'idempotency-key': nonce },
        job,
        timeoutMs: 6000,
        url: cluster.entries[index % 3]?.url ?? '',
      });
      expect(answer.outcome).toBe('answered');
      cost[job].latenciesMs.push(performance.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: callers }, (_, index) => runCaller(index)));
  const after = await readLogCounts();
  cost.charge.appends = after.appends - before.appends;
  cost.charge.records = after.records - before.records;
  return cost;
}

function emptyCost(): Cost {
  return { appends: 0, latenciesMs: [], records: 0 };
}

async function readLogCounts(): Promise<{ appends: number; records: number }> {
  const { appends } = await cluster.callAdminApi<{ appends: number }>('GET', '/counters');
  const { records } = await cluster.callAdminApi<{ records: unknown[] }>('GET', '/streams/work');
  return { appends, records: records.length };
}

function quantile(values: number[], q: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(q * (sorted.length - 1))] ?? 0;
}

// Guards against one append per claim under load: the log accepts only a few hundred appends per second, so
// concurrent claims have to share appends.
describe('cost of claims', () => {
  it.each([3, MANY_CALLERS])('measures the records per append with %i callers', async (callers) => {
    const { charge, quote } = await measureCost(callers);
    const recordsPerAppend = charge.records / charge.appends;
    const median = quantile(charge.latenciesMs, 0.5) / quantile(quote.latenciesMs, 0.5);
    const p99 = quantile(charge.latenciesMs, 0.99) / quantile(quote.latenciesMs, 0.99);
    console.log(
      `${callers} callers: ${charge.latenciesMs.length} claimed requests, ${charge.records} records in ` +
        `${charge.appends} appends (${recordsPerAppend.toFixed(2)} per append); latency claimed / repeatable: ` +
        `p50 ${median.toFixed(2)}, p99 ${p99.toFixed(2)}`,
    );
    if (callers === MANY_CALLERS) {
      expect(recordsPerAppend).toBeGreaterThan(1.5);
    }
  });
});
