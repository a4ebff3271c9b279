import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Seen } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { runsByNonce, startBookings } from './support/bookings';
import { call, digestOf } from './support/caller';

const SEED = Number(process.env.SEQUOIAQUAY_SEED ?? 5);
const KEYS = Number(process.env.SEQUOIAQUAY_KEYS ?? 10_000);
const ENTRIES = 4;
const CONCURRENCY = 120;
const FAULT_MS = 2200;
const CALM_MS = 700;
const DEADLINE_MS = 1500;
const PATIENCE_MS = 2500;

interface Fault {
  lift: () => unknown;
  name: string;
  show: () => unknown;
}

interface Request {
  /** Fault shown when the request was sent. */
  fault: string;
  reason: string;
  seen: Seen;
}

interface KeyLog {
  key: string;
  requests: Request[];
  runMs: number;
  wrongAnswers: number;
}

const random = seededRandom(SEED);
let cluster: Cluster;
let current = 'none';

beforeAll(async () => {
  cluster = await startBookings({ entries: ENTRIES, executors: 4, faultRoutes: true });
});

afterAll(async () => {
  await cluster.stop();
});

function pick(): EntryVm {
  const vm = cluster.entries[Math.floor(random() * ENTRIES)];
  if (vm === undefined) {
    throw new Error('the cluster has no entries');
  }
  return vm;
}

function faults(): Fault[] {
  const platform = (body: unknown): Promise<unknown> => cluster.admin('PUT', '/faults', body);
  let index = 0;
  return [
    {
      lift: () => {
        cluster.restartEntry(index);
      },
      name: 'entry killed and restarted',
      show: () => {
        index = Math.floor(random() * ENTRIES);
        return cluster.entries[index]?.entry.stop();
      },
    },
    {
      lift: () => {
        cluster.entries[index]?.entry.resume();
      },
      name: 'entry frozen and resumed',
      show: () => {
        index = Math.floor(random() * ENTRIES);
        cluster.entries[index]?.entry.freeze();
      },
    },
    { lift: () => platform({}), name: 'log loses answers', show: () => platform({ loseAppendAnswers: 0.5 }) },
    { lift: () => platform({}), name: 'log down', show: () => platform({ down: true }) },
    { lift: () => platform({}), name: 'log slow', show: () => platform({ slowMs: 800 }) },
    {
      lift: () => cluster.entries[index]?.platformRoute?.setFaults({}),
      name: 'answers of the log swallowed for one entry',
      show: () => cluster.entries[index]?.platformRoute?.setFaults({ dropAnswers: true }),
    },
    {
      lift: () => cluster.executors[0]?.route?.setFaults({}),
      name: 'link to a target cut again and again',
      show: async () => {
        for (let round = 0; round < 20; round += 1) {
          cluster.executors[0]?.route?.setFaults({ cut: round % 2 === 0 });
          await delay(FAULT_MS / 40);
        }
      },
    },
    {
      lift: () => cluster.executors[1]?.route?.setFaults({}),
      name: "target's answers cut",
      show: () => cluster.executors[1]?.route?.setFaults({ cutAnswerAfterBytes: 60 }),
    },
    {
      lift: () => cluster.executors[2]?.route?.setFaults({}),
      name: 'target frozen',
      show: () => cluster.executors[2]?.route?.setFaults({ freeze: true }),
    },
    {
      lift: () => {
        for (const vm of cluster.entries) {
          vm.peerRoute?.setFaults({});
        }
      },
      name: 'links between entries cut',
      show: () => {
        for (const vm of cluster.entries) {
          vm.peerRoute?.setFaults({ cut: true });
        }
      },
    },
  ];
}

async function showFaults(): Promise<void> {
  for (const fault of faults()) {
    await delay(CALM_MS);
    current = fault.name;
    await fault.show();
    await delay(FAULT_MS);
    await fault.lift();
    current = 'none';
  }
}

async function send(log: KeyLog, vm: EntryVm): Promise<void> {
  const fault = current;
  const answer = await call({
    body: { nonce: log.key, runMs: log.runMs },
    headers: { 'idempotency-key': log.key, 'sequoiaquay-deadline-ms': String(DEADLINE_MS) },
    job: 'charge',
    patienceMs: PATIENCE_MS,
    url: vm.url,
  });
  log.requests.push({ fault, reason: answer.reason, seen: answer.seen });
  if (answer.seen === 'answered' && !answer.body.includes(digestOf(log.key))) {
    log.wrongAnswers += 1;
  }
}

// Two requests race through two entries, then the key goes once through each of the others.
async function useKey(log: KeyLog): Promise<void> {
  const order = [...cluster.entries].sort(() => random() - 0.5);
  await Promise.all(order.slice(0, 2).map((vm) => send(log, vm)));
  for (const vm of order.slice(2)) {
    await send(log, vm);
  }
}

async function load(logs: KeyLog[], until: Promise<void>): Promise<void> {
  const state = { faultsDone: false };
  void until.then(() => {
    state.faultsDone = true;
  });
  const caller = async (): Promise<void> => {
    while (logs.length < KEYS || !state.faultsDone) {
      const runMs = random() < 0.01 ? 1000 : Math.floor(random() * 15);
      const log: KeyLog = { key: `key-${logs.length}`, requests: [], runMs, wrongAnswers: 0 };
      logs.push(log);
      await useKey(log);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, caller));
}

function table(logs: readonly KeyLog[]): string[] {
  const rows = new Map<string, Record<string, number>>();
  for (const { fault, reason, seen } of logs.flatMap((log) => log.requests)) {
    const row = rows.get(fault) ?? {};
    const cell = seen === 'no-answer' || reason === '' ? seen : `${seen} ${reason}`;
    row[cell] = (row[cell] ?? 0) + 1;
    rows.set(fault, row);
  }
  return [...rows].map(([fault, row]) => `${fault}: ${JSON.stringify(row)}`);
}

// Guards against a second execution of a request that is not repeatable, whatever fails in between.
describe('invariant 5: a request that is not repeatable runs at most once', () => {
  it(`with seed ${SEED} and ${KEYS} keys through ${ENTRIES} entries under every fault`, async () => {
    const logs: KeyLog[] = [];
    await load(logs, showFaults());
    // Every key once more through one entry, with all faults gone.
    const again = logs.filter((_, index) => index % 5 === 0);
    await Promise.all(
      Array.from({ length: 50 }, async (_, lane) => {
        for (const log of again.filter((__, index) => index % 50 === lane)) {
          await send(log, pick());
        }
      }),
    );
    const runs = await runsByNonce(cluster);
    console.log([`seed ${SEED}, ${logs.length} keys`, ...table(logs)].join('\n'));
    const twice = logs.filter((log) => (runs.get(log.key) ?? 0) > 1);
    expect(twice).toEqual([]);
    expect(logs.reduce((sum, log) => sum + log.wrongAnswers, 0)).toBe(0);
    const answeredUnrun = logs.filter(
      (log) => log.requests.some(({ seen }) => seen === 'answered') && !runs.has(log.key),
    );
    expect(answeredUnrun).toEqual([]);
    const refusedButRun = logs.filter(
      (log) => log.requests.every(({ seen }) => seen === 'not-run') && runs.has(log.key),
    );
    expect(refusedButRun).toEqual([]);
    expect(logs.filter((log) => runs.has(log.key)).length).toBeGreaterThan(KEYS / 2);
  }, 180_000);
});
