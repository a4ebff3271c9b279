import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import type { CallerAnswer, CallerRequest } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { listExecutions, startBookingsCluster } from './support/bookings';
import { sendRequest } from './support/caller';
import { callJson } from './support/cluster';
import { waitFor } from './support/wait-for';

/** Failure of a request at one point of its path, with the expected outcome and number of executions. */
interface Scenario {
  /**
   * Expected number of request heads that reach targets; not checked if omitted, and 0 for the outcome
   * `not-run`.
   */
  heads?: number;
  name: string;
  outcome: CallerAnswer['outcome'];
  reason?: string;
  run: (nonce: string) => Promise<CallerAnswer>;
  /** Expected number of executions. */
  runs: number;
}

const TARGET_COUNT = 3;
const SLOTS_PER_TARGET = 8;
const JSON_TYPE = 'application/json';

let cluster: Cluster;
let nonceCount = 0;

beforeAll(async () => {
  cluster = await startBookingsCluster(
    {
      entries: 2,
      entrySettings: { maxRequestBytes: 2_000_000, stopGraceMs: 500 },
      executors: TARGET_COUNT,
      faultRoutes: true,
    },
    4000,
  );
});

afterAll(async () => {
  await cluster.stop();
});

afterEach(async () => {
  await cluster.callAdminApi('PUT', '/faults', {});
  for (const executor of cluster.executors) {
    executor.route?.setFaults({});
  }
});

function getEntry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`no entry ${index}`);
  }
  return vm;
}

function sendCharge(
  nonce: string,
  options: Partial<CallerRequest> & { runMs?: number } = {},
): Promise<CallerAnswer> {
  const { headers, runMs, ...rest } = options;
  return sendRequest({
    body: { nonce, runMs: runMs ?? 5 },
    headers: { 'idempotency-key': nonce, 'sequoiaquay-deadline-ms': '1000', ...headers },
    job: 'charge',
    timeoutMs: 6000,
    url: getEntry(0).url,
    ...rest,
  });
}

function sendQuote(
  nonce: string,
  options: Partial<CallerRequest> & { runMs?: number } = {},
): Promise<CallerAnswer> {
  return sendCharge(nonce, { job: 'quote', ...options });
}

function misbehaveHeader(kind: string): { headers: Record<string, string> } {
  return { headers: { 'content-type': `${JSON_TYPE}; misbehave=${kind}` } };
}

async function countReceivedHeads(): Promise<number> {
  const received = await Promise.all(
    cluster.executors.map((executor) =>
      callJson<{ heads: number }>(`http://${executor.address}/admin/received`, 'GET', {}),
    ),
  );
  return received.reduce((sum, { heads }) => sum + heads, 0);
}

async function countRuns(nonce: string): Promise<number> {
  return (await listExecutions(cluster)).filter((execution) => execution.nonce === nonce).length;
}

// Occupies every slot of the targets through an entry for `runMs`, and returns a function that waits for the
// end.
async function fillSlots(vm: EntryVm, runMs: number): Promise<() => Promise<unknown>> {
  nonceCount += 1;
  const nonce = `filler-${nonceCount}`;
  const fillers = Array.from({ length: TARGET_COUNT * SLOTS_PER_TARGET }, () =>
    sendQuote(nonce, { headers: { 'sequoiaquay-deadline-ms': '4000' }, runMs, url: vm.url }),
  );
  await waitFor('full slots', 5000, async () =>
    (await countRuns(nonce)) >= TARGET_COUNT * SLOTS_PER_TARGET ? true : undefined,
  );
  return () => Promise.all(fillers);
}

// Runs an action while the last `count` targets refuse connections.
async function refuseConnections<T>(count: number, action: () => Promise<T>): Promise<T> {
  const routes = cluster.executors
    .slice(TARGET_COUNT - count)
    .flatMap(({ route }) => (route === undefined ? [] : [route]));
  await Promise.all(routes.map((route) => route.refuseConnections()));
  try {
    return await action();
  } finally {
    await Promise.all(routes.map((route) => route.acceptConnections()));
  }
}

const beforeSending: Scenario[] = [
  {
    name: 'parsing: unknown job',
    reason: 'unknown-job',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => sendCharge(nonce, { job: 'nothing' as never }),
  },
  {
    name: 'parsing: bad deadline',
    reason: 'bad-request',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => sendCharge(nonce, { headers: { 'sequoiaquay-deadline-ms': '-1' } }),
  },
  {
    name: 'parsing: no key',
    reason: 'key-required',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => sendCharge(nonce, { headers: { 'idempotency-key': '' } }),
  },
  {
    name: 'admission: body too large',
    reason: 'request-too-large',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => sendCharge(nonce, { body: 'x'.repeat(2_000_001) }),
  },
  {
    name: 'claim: key used for another body',
    reason: 'key-mismatch',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      await sendCharge(`${nonce}-first`, { headers: { 'idempotency-key': nonce } });
      return sendCharge(nonce);
    },
  },
  {
    name: 'claim: log down',
    reason: 'claim-unavailable',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      await cluster.callAdminApi('PUT', '/faults', { down: true });
      return sendCharge(nonce);
    },
  },
  {
    name: 'claim: log slower than the deadline, claim stored later',
    reason: 'claim-unavailable',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      await cluster.callAdminApi('PUT', '/faults', { slowMs: 1500 });
      const answer = await sendCharge(nonce);
      await delay(1500);
      return answer;
    },
  },
  {
    name: 'queue: no slot before the deadline, repeatable',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      const waitForFillers = await fillSlots(getEntry(0), 2000);
      const answer = await sendQuote(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' } });
      await waitForFillers();
      return answer;
    },
  },
  {
    name: 'queue: no slot before the deadline, claimed',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      const waitForFillers = await fillSlots(getEntry(0), 2000);
      const answer = await sendCharge(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' } });
      await waitForFillers();
      return answer;
    },
  },
  {
    name: 'connection refused by every target, claimed',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => refuseConnections(TARGET_COUNT, () => sendCharge(nonce)),
  },
  {
    name: 'connection refused by every target, repeatable',
    runs: 0,
    outcome: 'not-run',
    run: (nonce) => refuseConnections(TARGET_COUNT, () => sendQuote(nonce)),
  },
];

const afterSending: Scenario[] = [
  {
    name: 'connection cut at the first byte, claimed',
    heads: 0,
    runs: 0,
    outcome: 'unknown',
    run: (nonce) => {
      for (const executor of cluster.executors) {
        executor.route?.setFaults({ freeze: true });
      }
      return sendCharge(nonce);
    },
  },
  {
    name: 'connection cut while writing, claimed',
    heads: 1,
    runs: 0,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, { ...misbehaveHeader('cut-on-head'), body: 'x'.repeat(1_500_000) }),
  },
  {
    name: 'connection cut after writing, claimed',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, misbehaveHeader('cut-before-answer')),
  },
  {
    name: 'body cut, with a length',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, misbehaveHeader('cut-length')),
  },
  {
    name: 'body cut, in chunks',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, misbehaveHeader('cut-chunked')),
  },
  {
    name: 'body cut, ended by the connection',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, misbehaveHeader('no-length')),
  },
  {
    name: 'deadline while running, claimed',
    reason: 'target-timeout',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendCharge(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' }, runMs: 900 }),
  },
  {
    name: 'deadline while running, repeatable',
    reason: 'target-timeout',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) => sendQuote(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' }, runMs: 900 }),
  },
  {
    // The retries reach no target, but the first attempt did.
    name: 'repeatable: cut on one target, connection refused by the others',
    runs: 1,
    outcome: 'unknown',
    run: (nonce) =>
      refuseConnections(TARGET_COUNT - 1, () => sendQuote(nonce, misbehaveHeader('cut-before-answer'))),
  },
];

const whileStopping: Scenario[] = [
  {
    name: 'entry killed while the request runs, repeated through another',
    runs: 1,
    outcome: 'unknown',
    run: async (nonce) => {
      const first = sendCharge(nonce, { runMs: 800 });
      await waitFor('the run', 3000, async () => ((await countRuns(nonce)) > 0 ? true : undefined));
      await getEntry(0).entry.stop();
      expect((await first).outcome).toBe('no-answer');
      cluster.restartEntry(0);
      return sendCharge(nonce, {
        headers: { 'sequoiaquay-deadline-ms': '3000' },
        runMs: 800,
        url: getEntry(1).url,
      });
    },
  },
  {
    name: 'SIGTERM while the request waits for a slot',
    reason: 'stopping',
    runs: 0,
    outcome: 'not-run',
    run: async (nonce) => {
      const waitForFillers = await fillSlots(getEntry(1), 1500);
      const queued = sendCharge(nonce, {
        headers: { 'sequoiaquay-deadline-ms': '3500' },
        url: getEntry(1).url,
      });
      await delay(300);
      void getEntry(1).entry.stop('SIGTERM');
      const answer = await queued;
      await waitForFillers();
      return answer;
    },
  },
];

// Guards against the outcome `not-run` for a request of which a target received at least one byte, and
// against failures without a defined outcome. Both are checked against the counters of the targets.
describe('invariant 4: not-run is reported only for requests that did not run', () => {
  it.each([...beforeSending, ...afterSending, ...whileStopping])('$name: $outcome', async (scenario) => {
    await waitFor('service', 10_000, async () =>
      (await sendQuote('warm')).outcome === 'answered' ? true : undefined,
    );
    nonceCount += 1;
    const nonce = `scenario-${nonceCount}`;
    const headsBefore = await countReceivedHeads();
    const fillersBefore = nonceCount;
    const answer = await scenario.run(nonce);
    expect(answer).toMatchObject({
      outcome: scenario.outcome,
      ...(scenario.reason ? { reason: scenario.reason } : {}),
    });
    expect(await countRuns(nonce)).toBe(scenario.runs);
    const ownHeads =
      (await countReceivedHeads()) -
      headsBefore -
      (nonceCount - fillersBefore) * TARGET_COUNT * SLOTS_PER_TARGET;
    if (answer.outcome === 'not-run' && !scenario.name.startsWith('claim: key')) {
      expect(ownHeads).toBe(0);
    } else if (scenario.heads !== undefined) {
      expect(ownHeads).toBe(scenario.heads);
    }
  });
});
