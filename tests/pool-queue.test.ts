import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { TimedAnswer } from './support/pool';
import { Cluster } from './support/cluster';
import { fillPool, runJob } from './support/pool';

const POOL = 'bookings';
const TEAM = 'voyages';
const SLOTS = 16;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({ entries: 2, executors: 2, teams: [TEAM] });
  await cluster.waitForVms();
  await fillPool(cluster, TEAM, POOL, {
    quote: { repeatable: true, timeoutMs: 5000 },
    report: { repeatable: true, timeoutMs: 15_000 },
  });
});

afterAll(async () => {
  await cluster.stop();
});

function run(index: number, job: string, runMs: number, signal?: AbortSignal): Promise<TimedAnswer> {
  return runJob(cluster.entries[index % 2]?.url ?? '', POOL, job, runMs, signal);
}

describe('pool queue through two entries', () => {
  // Guards against short work that waits for long work of any entry. Without kept slots the long work below
  // occupies every slot, and short work waits for up to 600 ms.
  it('starts short work while long work waits', async () => {
    await Promise.all(Array.from({ length: 4 }, (_, index) => run(index, 'report', 600)));
    const long = Array.from({ length: 3 * SLOTS }, (_, index) => run(index, 'report', 600));
    await delay(100);
    const short: TimedAnswer[] = [];
    for (let index = 0; index < 100; index += 1) {
      short.push(await run(index, 'quote', 10));
    }
    const times = short.map((answer) => answer.ms).sort((a, b) => a - b);
    expect(short.every((answer) => answer.outcome === 'answered')).toBe(true);
    expect(times[Math.floor(times.length * 0.98)]).toBeLessThan(300);
    expect((await Promise.all(long)).every((answer) => answer.outcome === 'answered')).toBe(true);
  });

  // Guards against slots that stay taken by callers that have gone.
  it('frees the slots and places of callers that hang up', async () => {
    const gone = new AbortController();
    const left = Array.from({ length: 3 * SLOTS }, (_, index) => run(index, 'quote', 4000, gone.signal));
    const settled = Promise.allSettled(left);
    await delay(400);
    gone.abort();
    await settled;
    const answers = await Promise.all(Array.from({ length: SLOTS }, (_, index) => run(index, 'report', 10)));
    expect(Math.max(...answers.map((answer) => answer.ms))).toBeLessThan(2000);
  });

  // Guards against work that waits for an owner that is gone.
  it('goes on through the other entry when one is killed', async () => {
    await cluster.entries[0]?.entry.stop('SIGKILL');
    const answers = await Promise.all(Array.from({ length: 20 }, () => run(1, 'quote', 10)));
    expect(answers.every((answer) => answer.outcome === 'answered')).toBe(true);
  });
});
