import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { TimedAnswer } from './support/pool';
import { Cluster } from './support/cluster';
import { runJob, setUpPool } from './support/pool';

const POOL = 'bookings';
const TEAM = 'voyages';
const SLOTS_PER_POOL = 16;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({ entries: 2, executors: 2, teams: [TEAM] });
  await cluster.waitForVms();
  await setUpPool(cluster, TEAM, POOL, {
    quote: { repeatable: true, timeoutMs: 5000 },
    report: { repeatable: true, timeoutMs: 15_000 },
  });
});

afterAll(async () => {
  await cluster.stop();
});

function runThroughEntry(
  index: number,
  job: string,
  runMs: number,
  signal?: AbortSignal,
): Promise<TimedAnswer> {
  return runJob(cluster.entries[index % 2]?.url ?? '', POOL, job, runMs, signal);
}

describe('pool queue through two entries', () => {
  // Guards against short requests that wait for long requests of any entry. Without reserved slots the long
  // requests below occupy every slot, and a short request waits for up to 600 ms.
  it('starts short requests while long requests wait', async () => {
    await Promise.all(Array.from({ length: 4 }, (_, index) => runThroughEntry(index, 'report', 600)));
    const long = Array.from({ length: 3 * SLOTS_PER_POOL }, (_, index) =>
      runThroughEntry(index, 'report', 600),
    );
    await delay(100);
    const short: TimedAnswer[] = [];
    for (let index = 0; index < 100; index += 1) {
      short.push(await runThroughEntry(index, 'quote', 10));
    }
    const times = short.map((answer) => answer.ms).sort((a, b) => a - b);
    expect(short.every((answer) => answer.outcome === 'answered')).toBe(true);
    expect(times[Math.floor(times.length * 0.98)]).toBeLessThan(300);
    expect((await Promise.all(long)).every((answer) => answer.outcome === 'answered')).toBe(true);
  });

  // Guards against slots that stay occupied after their callers disconnect.
  it('frees the slots and queue positions of callers that disconnect', async () => {
    const abort = new AbortController();
    const abandoned = Array.from({ length: 3 * SLOTS_PER_POOL }, (_, index) =>
      runThroughEntry(index, 'quote', 4000, abort.signal),
    );
    const settled = Promise.allSettled(abandoned);
    await delay(400);
    abort.abort();
    await settled;
    const answers = await Promise.all(
      Array.from({ length: SLOTS_PER_POOL }, (_, index) => runThroughEntry(index, 'report', 10)),
    );
    expect(Math.max(...answers.map((answer) => answer.ms))).toBeLessThan(2000);
  });

  // Guards against requests that wait for a grant from a queue owner that no longer runs.
  it('answers requests through the other entry when one is killed', async () => {
    await cluster.entries[0]?.entry.stop('SIGKILL');
    const answers = await Promise.all(Array.from({ length: 20 }, () => runThroughEntry(1, 'quote', 10)));
    expect(answers.every((answer) => answer.outcome === 'answered')).toBe(true);
  });
});
