import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import type { CallerAnswer, CallerCall } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { executionsOf, startBookings } from './support/bookings';
import { call } from './support/caller';
import { callJson } from './support/cluster';
import { waitFor } from './support/wait-for';

/** Place where a request stops, how it is brought about, and what must be seen. */
interface Place {
  /** Heads of the request that reach targets; the default is `runs`. */
  heads?: number;
  name: string;
  reason?: string;
  runs: number;
  seen: CallerAnswer['seen'];
  stop: (nonce: string) => Promise<CallerAnswer>;
}

const TARGETS = 3;
const SLOTS = 8;
const JSON_TYPE = 'application/json';

let cluster: Cluster;
let nonceCount = 0;

beforeAll(async () => {
  cluster = await startBookings(
    {
      entries: 2,
      entrySettings: { maxRequestBytes: 2_000_000, stopGraceMs: 500 },
      executors: TARGETS,
      faultRoutes: true,
    },
    4000,
  );
});

afterAll(async () => {
  await cluster.stop();
});

afterEach(async () => {
  await cluster.admin('PUT', '/faults', {});
  for (const executor of cluster.executors) {
    executor.route?.setFaults({});
  }
});

function entry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`no entry ${index}`);
  }
  return vm;
}

function charge(nonce: string, more: Partial<CallerCall> & { runMs?: number } = {}): Promise<CallerAnswer> {
  const { headers, runMs, ...rest } = more;
  return call({
    body: { nonce, runMs: runMs ?? 5 },
    headers: { 'idempotency-key': nonce, 'sequoiaquay-deadline-ms': '1000', ...headers },
    job: 'charge',
    patienceMs: 6000,
    url: entry(0).url,
    ...rest,
  });
}

function quote(nonce: string, more: Partial<CallerCall> & { runMs?: number } = {}): Promise<CallerAnswer> {
  return charge(nonce, { job: 'quote', ...more });
}

function misbehave(kind: string): { headers: Record<string, string> } {
  return { headers: { 'content-type': `${JSON_TYPE}; misbehave=${kind}` } };
}

async function headsReceived(): Promise<number> {
  const received = await Promise.all(
    cluster.executors.map((executor) =>
      callJson<{ heads: number }>(`http://${executor.address}/admin/received`, 'GET', {}),
    ),
  );
  return received.reduce((sum, { heads }) => sum + heads, 0);
}

async function runsOf(nonce: string): Promise<number> {
  return (await executionsOf(cluster)).filter((execution) => execution.nonce === nonce).length;
}

// Fills every slot that an entry uses, for a time in ms.
async function fillSlots(vm: EntryVm, runMs: number): Promise<() => Promise<unknown>> {
  nonceCount += 1;
  const nonce = `filler-${nonceCount}`;
  const fillers = Array.from({ length: TARGETS * SLOTS }, () =>
    quote(nonce, { headers: { 'sequoiaquay-deadline-ms': '4000' }, runMs, url: vm.url }),
  );
  await waitFor('full slots', 5000, async () =>
    (await runsOf(nonce)) >= TARGETS * SLOTS ? true : undefined,
  );
  return () => Promise.all(fillers);
}

async function refuseConnections<T>(count: number, task: () => Promise<T>): Promise<T> {
  const routes = cluster.executors
    .slice(TARGETS - count)
    .flatMap(({ route }) => (route === undefined ? [] : [route]));
  await Promise.all(routes.map((route) => route.refuseConnections()));
  try {
    return await task();
  } finally {
    await Promise.all(routes.map((route) => route.acceptConnections()));
  }
}

const before: Place[] = [
  {
    name: 'parsing: unknown job',
    reason: 'unknown-job',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => charge(nonce, { job: 'nothing' as never }),
  },
  {
    name: 'parsing: bad deadline',
    reason: 'bad-request',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => charge(nonce, { headers: { 'sequoiaquay-deadline-ms': '-1' } }),
  },
  {
    name: 'parsing: no key',
    reason: 'key-required',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => charge(nonce, { headers: { 'idempotency-key': '' } }),
  },
  {
    name: 'admission: body too large',
    reason: 'request-too-large',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => charge(nonce, { body: 'x'.repeat(2_000_001) }),
  },
  {
    name: 'claim: key used for another body',
    reason: 'key-mismatch',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      await charge(`${nonce}-first`, { headers: { 'idempotency-key': nonce } });
      return charge(nonce);
    },
  },
  {
    name: 'claim: log down',
    reason: 'claim-unavailable',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      await cluster.admin('PUT', '/faults', { down: true });
      return charge(nonce);
    },
  },
  {
    name: 'claim: log slower than the deadline, claim appears later',
    reason: 'claim-unavailable',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      await cluster.admin('PUT', '/faults', { slowMs: 1500 });
      const answer = await charge(nonce);
      await delay(1500);
      return answer;
    },
  },
  {
    name: 'queue: no slot before the deadline, repeatable',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      const done = await fillSlots(entry(0), 2000);
      const answer = await quote(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' } });
      await done();
      return answer;
    },
  },
  {
    name: 'queue: no slot before the deadline, claimed',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      const done = await fillSlots(entry(0), 2000);
      const answer = await charge(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' } });
      await done();
      return answer;
    },
  },
  {
    name: 'connect refused by every target, claimed',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => refuseConnections(TARGETS, () => charge(nonce)),
  },
  {
    name: 'connect refused by every target, repeatable',
    runs: 0,
    seen: 'not-run',
    stop: (nonce) => refuseConnections(TARGETS, () => quote(nonce)),
  },
];

const after: Place[] = [
  {
    name: 'connection cut at the first byte, claimed',
    heads: 0,
    runs: 0,
    seen: 'unknown',
    stop: (nonce) => {
      for (const executor of cluster.executors) {
        executor.route?.setFaults({ freeze: true });
      }
      return charge(nonce);
    },
  },
  {
    name: 'connection cut while writing, claimed',
    heads: 1,
    runs: 0,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, { ...misbehave('cut-on-head'), body: 'x'.repeat(1_500_000) }),
  },
  {
    name: 'connection cut after writing, claimed',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, misbehave('cut-before-answer')),
  },
  {
    name: 'body cut, with a length',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, misbehave('cut-length')),
  },
  {
    name: 'body cut, in chunks',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, misbehave('cut-chunked')),
  },
  {
    name: 'body cut, ended by the connection',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, misbehave('no-length')),
  },
  {
    name: 'deadline while running, claimed',
    reason: 'target-timeout',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => charge(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' }, runMs: 900 }),
  },
  {
    name: 'deadline while running, repeatable',
    reason: 'target-timeout',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => quote(nonce, { headers: { 'sequoiaquay-deadline-ms': '300' }, runMs: 900 }),
  },
  {
    // The later tries reach no target, but the first one did.
    name: 'repeatable: cut on one target, connection refused by the others',
    runs: 1,
    seen: 'unknown',
    stop: (nonce) => refuseConnections(TARGETS - 1, () => quote(nonce, misbehave('cut-before-answer'))),
  },
];

const stopping: Place[] = [
  {
    name: 'entry killed while the request runs, asked again through another',
    runs: 1,
    seen: 'unknown',
    stop: async (nonce) => {
      const first = charge(nonce, { runMs: 800 });
      await waitFor('the run', 3000, async () => ((await runsOf(nonce)) > 0 ? true : undefined));
      await entry(0).entry.stop();
      expect((await first).seen).toBe('no-answer');
      cluster.restartEntry(0);
      return charge(nonce, { headers: { 'sequoiaquay-deadline-ms': '3000' }, runMs: 800, url: entry(1).url });
    },
  },
  {
    name: 'SIGTERM while the request waits for a slot',
    reason: 'stopping',
    runs: 0,
    seen: 'not-run',
    stop: async (nonce) => {
      const done = await fillSlots(entry(1), 1500);
      const waiting = charge(nonce, { headers: { 'sequoiaquay-deadline-ms': '3500' }, url: entry(1).url });
      await delay(300);
      void entry(1).entry.stop('SIGTERM');
      const answer = await waiting;
      await done();
      return answer;
    },
  },
];

// Guards against a refusal that says `not-run` for a request of which a byte reached a target, and against
// places that stop a request without a defined outcome. The targets' own counters decide.
describe('invariant 4: not-run is true', () => {
  it.each([...before, ...after, ...stopping])('$name: $seen', async (place) => {
    await waitFor('service', 10_000, async () =>
      (await quote('warm')).seen === 'answered' ? true : undefined,
    );
    nonceCount += 1;
    const nonce = `place-${nonceCount}`;
    const headsBefore = await headsReceived();
    const fillersBefore = nonceCount;
    const answer = await place.stop(nonce);
    expect(answer).toMatchObject({ seen: place.seen, ...(place.reason ? { reason: place.reason } : {}) });
    expect(await runsOf(nonce)).toBe(place.runs);
    const ownHeads = (await headsReceived()) - headsBefore - (nonceCount - fillersBefore) * TARGETS * SLOTS;
    if (answer.seen === 'not-run' && !place.name.startsWith('claim: key')) {
      expect(ownHeads).toBe(0);
    } else if (place.heads !== undefined) {
      expect(ownHeads).toBe(place.heads);
    }
  });
});
