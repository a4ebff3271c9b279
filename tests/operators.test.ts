import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from './support/cluster';
import { waitFor } from './support/wait-for';

const TEAM = 'voyages';

const SETTINGS_BRANCH = {
  pools: {
    bookings: {
      jobs: { quote: { repeatable: true, timeoutMs: 10_000 } },
      minServing: 1,
    },
  },
};

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({ entries: 2, executors: 2, teams: [TEAM, 'office'] });
  await cluster.waitForVms();
  const applied = await cluster.callOperatorApi(TEAM, 'PUT', `/settings/${TEAM}`, SETTINGS_BRANCH, {
    'if-match': '0',
  });
  expect(applied.status).toBe(200);
  for (const executor of cluster.executors) {
    const moved = await cluster.callOperatorApi(TEAM, 'POST', `/vms/${executor.name}/move`, {
      to: 'bookings',
    });
    expect(moved.status).toBe(200);
  }
  await waitFor('all VMs serving in the pool', 10_000, async () => {
    const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms');
    const vms = body as unknown as { pool: string; serving: boolean }[];
    return vms.every((vm) => vm.pool === 'bookings' && vm.serving) ? true : undefined;
  });
});

afterAll(async () => {
  await cluster.stop();
});

function sendQuote(runMs: number): Promise<Response> {
  return fetch(`${cluster.entries[0]?.url ?? ''}/v1/pools/bookings/jobs/quote`, {
    body: JSON.stringify({ nonce: 'n', runMs }),
    method: 'POST',
  });
}

async function explain(kind: string, id: string): Promise<{ summary: string[] }> {
  const { body } = await cluster.callOperatorApi(TEAM, 'GET', `/explain/${kind}/${id}`, undefined, {}, 1);
  return body as { summary: string[] };
}

// Guards against answers to operators that lack events or state of some process, or contradict it.
describe("operators' interface of real processes", () => {
  it('reports on how many entries a version is in force', async () => {
    const status = await waitFor('settings in force on both entries', 5000, async () => {
      const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/status');
      const teams = body.teams as { inForce: number }[];
      return teams[0]?.inForce === 2 ? body : undefined;
    });
    expect(status).toMatchObject({
      control: { caughtUp: true, logReachable: true },
      entries: [{ reachable: true }, { reachable: true }],
      teams: [{ entries: 2, inForce: 2, missing: [], team: TEAM }],
    });
  });

  it('explains a request by the events of the entry that handled it', async () => {
    const res = await sendQuote(1);
    const id = res.headers.get('sequoiaquay-request-id') ?? '';
    const { summary } = await explain('request', id);
    expect(summary.map((line) => line.split(',')[0])).toEqual([
      'entry-0: accepted',
      'entry-0: granted',
      'entry-0: sent',
      'entry-0: answered',
    ]);
  });

  it('explains which entry a drain waits for and why', async () => {
    const runs = await Promise.all([sendQuote(1), sendQuote(1)]);
    expect(runs.map((res) => res.status)).toEqual([200, 200]);
    const slow = [sendQuote(3000), sendQuote(3000)];
    await waitFor('requests in flight', 2000, async () => {
      const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/status');
      return (body.entries as { inFlight: number }[])[0]?.inFlight === 2 ? true : undefined;
    });
    await cluster.callOperatorApi(TEAM, 'POST', '/vms/target-0/drain', { purpose: 'reboot' });
    await waitFor('reason for the wait', 3000, async () => {
      const { summary } = await explain('vm', 'target-0');
      const waits = summary.filter((line) => line.startsWith('waits for'));
      return waits.join() === 'waits for entry-0: it has 1 request in flight on the VM' ? true : undefined;
    });
    expect((await Promise.all(slow)).map((res) => res.status)).toEqual([200, 200]);
    await waitFor('release', 5000, async () => {
      const { summary } = await explain('vm', 'target-0');
      return summary[0]?.startsWith('VM target-0 is released') ? true : undefined;
    });
  });

  it('merges the events of all processes in causal order', async () => {
    const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/timeline?limit=2000');
    const events = body.events as { data: { record?: string }; kind: string; process: string }[];
    expect(new Set(events.map((event) => event.process))).toEqual(
      new Set(['entry-0', 'entry-1', 'control-0', 'control-1']),
    );
    const relayed = events.findLastIndex((event) => event.process === 'entry-0' && event.kind === 'vm-drain');
    const record = events[relayed]?.data.record;
    const applied = events.findIndex(
      (event) => event.process === 'control-0' && event.data.record === record,
    );
    expect(applied).toBeGreaterThanOrEqual(0);
    expect(applied).toBeLessThan(relayed);
  });

  it('refuses a stale base with the difference and keeps a history', async () => {
    const stale = { pools: { bookings: { ...SETTINGS_BRANCH.pools.bookings, minServing: 0 } } };
    const refused = await cluster.callOperatorApi(TEAM, 'PUT', `/settings/${TEAM}`, stale, {
      'if-match': '0',
    });
    expect(refused).toMatchObject({
      body: {
        difference: [{ from: 1, path: 'pools.bookings.minServing', to: 0 }],
        reason: 'stale-base',
      },
      status: 409,
    });
    const { body } = await cluster.callOperatorApi(TEAM, 'GET', `/settings/${TEAM}/history`);
    expect(body.changes).toMatchObject([
      { accepted: true, base: 0, by: 'team:voyages' },
      { accepted: false, reason: 'stale-base' },
    ]);
  });

  it('publishes metrics on entry and control', async () => {
    const entry = await (await fetch(`${cluster.entries[0]?.url ?? ''}/metrics`)).text();
    expect(entry).toMatch(/sequoiaquay_requests_total\{job="quote",pool="bookings",.*"answered"\} \d/);
    expect(entry).toMatch(/sequoiaquay_state_age_seconds [\d.]+/);
    const control = await (await fetch(`${cluster.entries[0]?.controlUrl ?? ''}/metrics`)).text();
    expect(control).toMatch(/sequoiaquay_log_appends_total\{stream="fleet"\} \d/);
  });
});
