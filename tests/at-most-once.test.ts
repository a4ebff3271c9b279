import { seededRandom } from '@sequoiaquay/stand-ins';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { ObservedOutcome } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { countRunsByNonce, startBookingsCluster } from './support/bookings';
import { digestOf, sendRequest } from './support/caller';

const SEED = Number(process.env.SEQUOIAQUAY_SEED ?? 5);
const KEY_COUNT = Number(process.env.SEQUOIAQUAY_KEYS ?? 10_000);
const ENTRY_COUNT = 4;
const CONCURRENCY = 120;
const FAULT_DURATION_MS = 2200;
const FAULT_FREE_MS = 700;
const DEADLINE_MS = 1500;
const CALLER_TIMEOUT_MS = 2500;

interface Fault {
  clear: () => unknown;
  inject: () => unknown;
  name: string;
}

interface SentRequest {
  /** Fault that was active when the request was sent. */
  fault: string;
  outcome: ObservedOutcome;
  reason: string;
}

interface KeyHistory {
  key: string;
  requests: SentRequest[];
  runMs: number;
  wrongAnswers: number;
}

const random = seededRandom(SEED);
let cluster: Cluster;
let currentFault = 'none';

beforeAll(async () => {
  cluster = await startBookingsCluster({ entries: ENTRY_COUNT, executors: 4, faultRoutes: true });
});

afterAll(async () => {
  await cluster.stop();
});

function pickEntry(): EntryVm {
  const vm = cluster.entries[Math.floor(random() * ENTRY_COUNT)];
  if (vm === undefined) {
    throw new Error('the cluster has no entries');
  }
  return vm;
}

function listFaults(): Fault[] {
  const platform = (body: unknown): Promise<unknown> => cluster.callAdminApi('PUT', '/faults', body);
  let index = 0;
  return [
    {
      clear: () => {
        cluster.restartEntry(index);
      },
      inject: () => {
        index = Math.floor(random() * ENTRY_COUNT);
        return cluster.entries[index]?.entry.stop();
      },
      name: 'entry killed and restarted',
    },
    {
      clear: () => {
        cluster.entries[index]?.entry.resume();
      },
      inject: () => {
        index = Math.floor(random() * ENTRY_COUNT);
        cluster.entries[index]?.entry.freeze();
      },
      name: 'entry frozen and resumed',
    },
    {
      clear: () => platform({}),
      inject: () => platform({ loseAppendAnswers: 0.5 }),
      name: 'answers of appends to the log lost',
    },
    { clear: () => platform({}), inject: () => platform({ down: true }), name: 'log down' },
    { clear: () => platform({}), inject: () => platform({ slowMs: 800 }), name: 'log slow' },
    {
      clear: () => cluster.entries[index]?.platformRoute?.setFaults({}),
      inject: () => cluster.entries[index]?.platformRoute?.setFaults({ dropAnswers: true }),
      name: 'answers of the log dropped for one entry',
    },
    {
      clear: () => cluster.executors[0]?.route?.setFaults({}),
      inject: async () => {
        for (let round = 0; round < 20; round += 1) {
          cluster.executors[0]?.route?.setFaults({ cut: round % 2 === 0 });
          await delay(FAULT_DURATION_MS / 40);
        }
      },
      name: 'connections to a target cut repeatedly',
    },
    {
      clear: () => cluster.executors[1]?.route?.setFaults({}),
      inject: () => cluster.executors[1]?.route?.setFaults({ cutAnswerAfterBytes: 60 }),
      name: 'answers of a target truncated',
    },
    {
      clear: () => cluster.executors[2]?.route?.setFaults({}),
      inject: () => cluster.executors[2]?.route?.setFaults({ freeze: true }),
      name: 'target frozen',
    },
    {
      clear: () => {
        for (const vm of cluster.entries) {
          vm.peerRoute?.setFaults({});
        }
      },
      inject: () => {
        for (const vm of cluster.entries) {
          vm.peerRoute?.setFaults({ cut: true });
        }
      },
      name: 'connections between entries cut',
    },
  ];
}

async function injectFaults(): Promise<void> {
  for (const fault of listFaults()) {
    await delay(FAULT_FREE_MS);
    currentFault = fault.name;
    await fault.inject();
    await delay(FAULT_DURATION_MS);
    await fault.clear();
    currentFault = 'none';
  }
}

async function send(history: KeyHistory, vm: EntryVm): Promise<void> {
  const fault = currentFault;
  const answer = await sendRequest({
    body: { nonce: history.key, runMs: history.runMs },
    headers: { 'idempotency-key': history.key, 'sequoiaquay-deadline-ms': String(DEADLINE_MS) },
    job: 'charge',
    timeoutMs: CALLER_TIMEOUT_MS,
    url: vm.url,
  });
  history.requests.push({ fault, outcome: answer.outcome, reason: answer.reason });
  if (answer.outcome === 'answered' && !answer.body.includes(digestOf(history.key))) {
    history.wrongAnswers += 1;
  }
}

// Sends two concurrent requests through two entries, then one request through each of the other entries.
async function sendWithKey(history: KeyHistory): Promise<void> {
  const order = [...cluster.entries].sort(() => random() - 0.5);
  await Promise.all(order.slice(0, 2).map((vm) => send(history, vm)));
  for (const vm of order.slice(2)) {
    await send(history, vm);
  }
}

async function generateLoad(histories: KeyHistory[], faultsEnd: Promise<void>): Promise<void> {
  const progress = { faultsDone: false };
  void faultsEnd.then(() => {
    progress.faultsDone = true;
  });
  const runCaller = async (): Promise<void> => {
    while (histories.length < KEY_COUNT || !progress.faultsDone) {
      const runMs = random() < 0.01 ? 1000 : Math.floor(random() * 15);
      const history: KeyHistory = { key: `key-${histories.length}`, requests: [], runMs, wrongAnswers: 0 };
      histories.push(history);
      await sendWithKey(history);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runCaller));
}

function formatTable(histories: readonly KeyHistory[]): string[] {
  const rows = new Map<string, Record<string, number>>();
  for (const { fault, outcome, reason } of histories.flatMap((history) => history.requests)) {
    const row = rows.get(fault) ?? {};
    const column = outcome === 'no-answer' || reason === '' ? outcome : `${outcome} ${reason}`;
    row[column] = (row[column] ?? 0) + 1;
    rows.set(fault, row);
  }
  return [...rows].map(([fault, row]) => `${fault}: ${JSON.stringify(row)}`);
}

// Guards against a second execution of a request that is not repeatable when an entry, the log, a target or a
// connection fails between its attempts, and against answers that contradict the executions the targets
// recorded.
describe('invariant 5: a request that is not repeatable runs at most once', () => {
  it(`with seed ${SEED} and ${KEY_COUNT} keys through ${ENTRY_COUNT} entries under every fault`, async () => {
    const histories: KeyHistory[] = [];
    await generateLoad(histories, injectFaults());
    // Repeats every fifth key once through one entry, after all faults are cleared.
    const again = histories.filter((_, index) => index % 5 === 0);
    await Promise.all(
      Array.from({ length: 50 }, async (_, caller) => {
        for (const history of again.filter((__, index) => index % 50 === caller)) {
          await send(history, pickEntry());
        }
      }),
    );
    const runs = await countRunsByNonce(cluster);
    console.log([`seed ${SEED}, ${histories.length} keys`, ...formatTable(histories)].join('\n'));
    const executedTwice = histories.filter((history) => (runs.get(history.key) ?? 0) > 1);
    expect(executedTwice).toEqual([]);
    expect(histories.reduce((sum, history) => sum + history.wrongAnswers, 0)).toBe(0);
    const answeredNotExecuted = histories.filter(
      (history) => history.requests.some(({ outcome }) => outcome === 'answered') && !runs.has(history.key),
    );
    expect(answeredNotExecuted).toEqual([]);
    const refusedButExecuted = histories.filter(
      (history) => history.requests.every(({ outcome }) => outcome === 'not-run') && runs.has(history.key),
    );
    expect(refusedButExecuted).toEqual([]);
    expect(histories.filter((history) => runs.has(history.key)).length).toBeGreaterThan(KEY_COUNT / 2);
  }, 180_000);
});
