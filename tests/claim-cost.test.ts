import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { startBookings } from './support/bookings';
import { call } from './support/caller';

const LANES = 48;
const LOAD_MS = 5000;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startBookings({ entries: 3, executors: 6 });
});

afterAll(async () => {
  await cluster.stop();
});

interface Cost {
  appends: number;
  latencies: number[];
  records: number;
}

async function measure(lanes: number): Promise<{ charge: Cost; quote: Cost }> {
  const cost = { charge: newCost(), quote: newCost() };
  const before = await logCounts();
  const until = performance.now() + LOAD_MS;
  const lane = async (index: number): Promise<void> => {
    for (let round = 0; performance.now() < until; round += 1) {
      // Both kinds take turns in one run, so that they share the state of the machine.
      const job = round % 2 === 0 ? 'charge' : 'quote';
      const nonce = `cost-${lanes}-${index}-${round}`;
      const startedAt = performance.now();
      const answer = await call({
        body: { nonce, runMs: 5 },
        headers: { 'idempotency-key': nonce },
        job,
        patienceMs: 6000,
        url: cluster.entries[index % 3]?.url ?? '',
      });
      expect(answer.seen).toBe('answered');
      cost[job].latencies.push(performance.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: lanes }, (_, index) => lane(index)));
  const after = await logCounts();
  cost.charge.appends = after.appends - before.appends;
  cost.charge.records = after.records - before.records;
  return cost;
}

function newCost(): Cost {
  return { appends: 0, latencies: [], records: 0 };
}

async function logCounts(): Promise<{ appends: number; records: number }> {
  const { appends } = await cluster.admin<{ appends: number }>('GET', '/counters');
  const { records } = await cluster.admin<{ records: unknown[] }>('GET', '/streams/work');
  return { appends, records: records.length };
}

function quantile(values: number[], q: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(q * (sorted.length - 1))] ?? 0;
}

// Guards against a claim that costs an append of its own under load: the log takes a few hundred a second.
describe('cost of claims', () => {
  it.each([3, LANES])('with %i callers', async (lanes) => {
    const { charge, quote } = await measure(lanes);
    const perAppend = charge.records / charge.appends;
    const median = quantile(charge.latencies, 0.5) / quantile(quote.latencies, 0.5);
    const p99 = quantile(charge.latencies, 0.99) / quantile(quote.latencies, 0.99);
    console.log(
      `${lanes} callers: ${charge.latencies.length} claimed requests, ${charge.records} records in ` +
        `${charge.appends} appends (${perAppend.toFixed(2)} per append); latency claimed / repeatable: ` +
        `p50 ${median.toFixed(2)}, p99 ${p99.toFixed(2)}`,
    );
    if (lanes === LANES) {
      expect(perAppend).toBeGreaterThan(1.5);
    }
  });
});
