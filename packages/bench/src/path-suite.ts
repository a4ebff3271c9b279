import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { setTimeout as delay } from 'node:timers/promises';
import { Cluster } from '../../../tests/support/cluster';
import { runJob, setUpPool } from '../../../tests/support/pool';
import { formatTable } from './table';

const POOL = 'bookings';
const TEAM = 'voyages';
const CALL_COUNT = 1000;
const WARM_UP_CALL_COUNT = 200;
const SHORT_RUN_MS = 5;
const LONG_REQUESTS = { count: 48, runMs: 1500 } as const;
const HISTOGRAM_UNITS_PER_MS = 1000;

/** Measures the latency through two entries with real processes on loopback and returns the printed tables. */
export async function measurePathLatency(): Promise<string> {
  const cluster = await Cluster.start({ entries: 2, executors: 2, teams: [TEAM] });
  try {
    await cluster.waitForVms();
    await setUpPool(cluster, TEAM, POOL, {
      quote: { repeatable: true, timeoutMs: 10_000 },
      report: { repeatable: true, timeoutMs: 60_000 },
    });
    return [
      `One caller, jobs of ${SHORT_RUN_MS} ms, ${CALL_COUNT} calls each in turn; times in ms`,
      await measureAddedLatency(cluster),
      `Short work of ${SHORT_RUN_MS} ms through both entries, alone and beside ${LONG_REQUESTS.count} long requests of ${LONG_REQUESTS.runMs} ms`,
      await measureBesideLongRequests(cluster),
    ].join('\n\n');
  } finally {
    await cluster.stop();
  }
}

async function measureAddedLatency(cluster: Cluster): Promise<string> {
  const directTimes = build();
  const timesByEntry = cluster.entries.map(() => build());
  for (let call = 0; call < WARM_UP_CALL_COUNT + CALL_COUNT; call += 1) {
    const timesMs = [await callTarget(cluster.executors[0]?.address ?? '')];
    for (const { url } of cluster.entries) {
      timesMs.push((await runJob(url, POOL, 'quote', SHORT_RUN_MS)).ms);
    }
    for (const [index, histogram] of [directTimes, ...timesByEntry].entries()) {
      if (call >= WARM_UP_CALL_COUNT) {
        histogram.recordValue(Math.round((timesMs[index] ?? 0) * HISTOGRAM_UNITS_PER_MS));
      }
    }
  }
  const rows = timesByEntry.map((histogram, index) => toRow(`entry-${index}`, histogram, directTimes));
  return formatTable(
    ['path', 'p50', 'p99', 'p50 ratio', 'p99 ratio'],
    [toRow('direct', directTimes, directTimes), ...rows],
  );
}

async function measureBesideLongRequests(cluster: Cluster): Promise<string> {
  const alone = await measureShortRequests(cluster, CALL_COUNT);
  await Promise.all(startLongRequests(cluster, 4));
  const longRequests = startLongRequests(cluster, LONG_REQUESTS.count);
  await delay(200);
  const besideLong = await measureShortRequests(cluster, CALL_COUNT / 4);
  await Promise.all(longRequests);
  return formatTable(
    ['short work', 'p50', 'p99', 'p50 ratio', 'p99 ratio'],
    [toRow('alone', alone, alone), toRow('beside long work', besideLong, alone)],
  );
}

function startLongRequests(cluster: Cluster, count: number): Promise<unknown>[] {
  return Array.from({ length: count }, (_, index) =>
    runJob(cluster.entries[index % 2]?.url ?? '', POOL, 'report', LONG_REQUESTS.runMs),
  );
}

async function measureShortRequests(cluster: Cluster, callCount: number): Promise<Histogram> {
  const histogram = build();
  for (let call = 0; call < callCount; call += 1) {
    const answer = await runJob(cluster.entries[call % 2]?.url ?? '', POOL, 'quote', SHORT_RUN_MS);
    histogram.recordValue(Math.round(answer.ms * HISTOGRAM_UNITS_PER_MS));
  }
  return histogram;
}

async function callTarget(address: string): Promise<number> {
  const startedAt = performance.now();
  const res = await fetch(`http://${address}/jobs/quote`, {
    body: JSON.stringify({ nonce: 'direct', runMs: SHORT_RUN_MS }),
    headers: { 'content-type': 'application/json' },
    method: 'POST',
  });
  await res.arrayBuffer();
  return performance.now() - startedAt;
}

function toRow(name: string, histogram: Histogram, base: Histogram): string[] {
  const percentileMs = (from: Histogram, percentile: number): number =>
    from.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
  return [
    name,
    percentileMs(histogram, 50).toFixed(2),
    percentileMs(histogram, 99).toFixed(2),
    (percentileMs(histogram, 50) / percentileMs(base, 50)).toFixed(2),
    (percentileMs(histogram, 99) / percentileMs(base, 99)).toFixed(2),
  ];
}
