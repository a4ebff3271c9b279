import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { setTimeout as delay } from 'node:timers/promises';
import { Cluster } from '../../../tests/support/cluster';
import { setUpPool, runJob } from '../../../tests/support/pool';
import { formatTable } from './table';

const POOL = 'bookings';
const TEAM = 'voyages';
const CALLS = 1000;
const WARM_UP = 200;
const RUN_MS = 5;
const LONG = { count: 48, runMs: 1500 } as const;
const UNITS_PER_MS = 1000;

/** Measures latency through two entries with real processes on loopback and returns the tables. */
export async function measurePath(): Promise<string> {
  const cluster = await Cluster.start({ entries: 2, executors: 2, teams: [TEAM] });
  try {
    await cluster.waitForVms();
    await setUpPool(cluster, TEAM, POOL, {
      quote: { repeatable: true, timeoutMs: 10_000 },
      report: { repeatable: true, timeoutMs: 60_000 },
    });
    return [
      `One caller, jobs of ${RUN_MS} ms, ${CALLS} calls each in turn; times in ms`,
      await measureAddedLatency(cluster),
      `Short work of ${RUN_MS} ms through both entries, alone and beside ${LONG.count} long requests of ${LONG.runMs} ms`,
      await measureBesideLong(cluster),
    ].join('\n\n');
  } finally {
    await cluster.stop();
  }
}

async function measureAddedLatency(cluster: Cluster): Promise<string> {
  const direct = build();
  const through = cluster.entries.map(() => build());
  for (let call = 0; call < WARM_UP + CALLS; call += 1) {
    const measured = [await callDirectly(cluster.executors[0]?.address ?? '')];
    for (const { url } of cluster.entries) {
      measured.push((await runJob(url, POOL, 'quote', RUN_MS)).ms);
    }
    for (const [index, histogram] of [direct, ...through].entries()) {
      if (call >= WARM_UP) {
        histogram.recordValue(Math.round((measured[index] ?? 0) * UNITS_PER_MS));
      }
    }
  }
  const rows = through.map((histogram, index) => row(`entry-${index}`, histogram, direct));
  return formatTable(
    ['path', 'p50', 'p99', 'p50 ratio', 'p99 ratio'],
    [row('direct', direct, direct), ...rows],
  );
}

async function measureBesideLong(cluster: Cluster): Promise<string> {
  const alone = await measureShort(cluster, CALLS);
  await Promise.all(startLong(cluster, 4));
  const long = startLong(cluster, LONG.count);
  await delay(200);
  const beside = await measureShort(cluster, CALLS / 4);
  await Promise.all(long);
  return formatTable(
    ['short work', 'p50', 'p99', 'p50 ratio', 'p99 ratio'],
    [row('alone', alone, alone), row('beside long work', beside, alone)],
  );
}

function startLong(cluster: Cluster, count: number): Promise<unknown>[] {
  return Array.from({ length: count }, (_, index) =>
    runJob(cluster.entries[index % 2]?.url ?? '', POOL, 'report', LONG.runMs),
  );
}

async function measureShort(cluster: Cluster, calls: number): Promise<Histogram> {
  const histogram = build();
  for (let call = 0; call < calls; call += 1) {
    const answer = await runJob(cluster.entries[call % 2]?.url ?? '', POOL, 'quote', RUN_MS);
    histogram.recordValue(Math.round(answer.ms * UNITS_PER_MS));
  }
  return histogram;
}

async function callDirectly(address: string): Promise<number> {
  const startedAt = performance.now();
  const res = await fetch(`http://${address}/jobs/quote`, {
    body: JSON.stringify({ nonce: 'direct', runMs: RUN_MS }),
    headers: { 'content-type': 'application/json' },
    method: 'POST',
  });
  await res.arrayBuffer();
  return performance.now() - startedAt;
}

function row(name: string, histogram: Histogram, base: Histogram): string[] {
  const at = (from: Histogram, percentile: number): number =>
    from.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return [
    name,
    at(histogram, 50).toFixed(2),
    at(histogram, 99).toFixed(2),
    (at(histogram, 50) / at(base, 50)).toFixed(2),
    (at(histogram, 99) / at(base, 99)).toFixed(2),
  ];
}
