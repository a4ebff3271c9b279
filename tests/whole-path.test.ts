import type { Execution } from '@sequoiaquay/stand-ins';
import { createHash } from 'node:crypto';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { callJson, Cluster } from './support/cluster';
import { waitFor } from './support/wait-for';

const TEAM = 'voyages';

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({ entries: 2, executors: 3, teams: [TEAM, 'office'] });
  await cluster.waitForVms();
  const applied = await cluster.callOperatorApi(
    TEAM,
    'PUT',
    `/settings/${TEAM}`,
    {
      pools: {
        bookings: {
          jobs: {
            charge: { repeatable: false, timeoutMs: 5000 },
            quote: { repeatable: true, timeoutMs: 5000 },
          },
          minServing: 1,
        },
      },
    },
    { 'if-match': '0' },
  );
  expect(applied).toMatchObject({ body: { accepted: true }, status: 200 });
  for (const executor of cluster.executors) {
    const moved = await cluster.callOperatorApi(TEAM, 'POST', `/vms/${executor.name}/move`, {
      to: 'bookings',
    });
    expect(moved).toMatchObject({ body: { accepted: true } });
  }
  await waitFor('all VMs serving in the pool', 10_000, async () => {
    const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms');
    const vms = body as unknown as { pool: string; serving: boolean }[];
    return vms.every((vm) => vm.pool === 'bookings' && vm.serving) ? true : undefined;
  });
  await Promise.all(
    cluster.entries.map((vm) =>
      waitFor('settings in force', 5000, async () =>
        (await sendJob(vm.url, 'quote', 'ready', {})).status === 200 ? true : undefined,
      ),
    ),
  );
});

afterAll(async () => {
  await cluster.stop();
});

async function sendJob(
  url: string,
  job: string,
  nonce: string,
  headers: Record<string, string>,
): Promise<{
  body: { digest?: string; reason?: string; target?: string };
  outcome: string | null;
  status: number;
}> {
  const res = await fetch(`${url}/v1/pools/bookings/jobs/${job}`, {
    body: JSON.stringify({ nonce, runMs: 10 }),
    headers: { 'content-type': 'application/json', ...headers },
    method: 'POST',
  });
  return {
    body: (await res.json()) as { digest?: string; reason?: string; target?: string },
    outcome: res.headers.get('sequoiaquay-outcome'),
    status: res.status,
  };
}

async function listExecutions(): Promise<Execution[]> {
  const lists = await Promise.all(
    cluster.executors.map((executor) =>
      callJson<Execution[]>(`http://${executor.address}/admin/executions`, 'GET', {}),
    ),
  );
  return lists.flat();
}

// Guards against faults between the processes that tests of a single package can't show.
describe('request path through real processes', () => {
  it('answers each caller with the answer to its own request', async () => {
    const nonces = Array.from({ length: 40 }, (_, index) => `quote-${index}`);
    const answers = await Promise.all(
      nonces.map((nonce, index) => sendJob(cluster.entries[index % 2]?.url ?? '', 'quote', nonce, {})),
    );
    for (const [index, answer] of answers.entries()) {
      expect(answer.outcome).toBe('answered');
      expect(answer.body.digest).toBe(
        createHash('sha256')
          .update(nonces[index] ?? '')
          .digest('hex'),
      );
    }
  });

  it('runs a charge once when it is sent through both entries with the same key', async () => {
    const answers = await Promise.all(
      cluster.entries.map((vm) => sendJob(vm.url, 'charge', 'charge-1', { 'idempotency-key': 'charge-1' })),
    );
    expect(answers.map((answer) => answer.outcome)).toEqual(['answered', 'answered']);
    expect(answers[0]?.body).toEqual(answers[1]?.body);
    const runs = (await listExecutions()).filter((execution) => execution.nonce === 'charge-1');
    expect(runs).toHaveLength(1);
  });

  it('refuses a key that is reused with another body', async () => {
    await sendJob(cluster.entries[0]?.url ?? '', 'charge', 'charge-2', { 'idempotency-key': 'charge-2' });
    const other = await sendJob(cluster.entries[1]?.url ?? '', 'charge', 'other', {
      'idempotency-key': 'charge-2',
    });
    expect(other).toMatchObject({ body: { reason: 'key-mismatch' }, outcome: 'not-run', status: 422 });
  });

  it('sends nothing to a drained VM and releases it when every entry is clear', async () => {
    const drained = await cluster.callOperatorApi(TEAM, 'POST', '/vms/target-0/drain', { purpose: 'reboot' });
    expect(drained).toMatchObject({ body: { accepted: true } });
    await waitFor('release of the VM', 5000, async () => {
      const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms');
      const vms = body as unknown as { id: string; state: string }[];
      return vms.find((vm) => vm.id === 'target-0')?.state === 'released' ? true : undefined;
    });
    const answer = await sendJob(cluster.entries[0]?.url ?? '', 'quote', 'after-drain', {});
    expect(answer.body.target).not.toBe('target-0');
  });

  it('refuses a drain that would violate the availability budget', async () => {
    await cluster.callOperatorApi(TEAM, 'POST', '/vms/target-1/drain', { purpose: 'reboot' });
    const refused = await cluster.callOperatorApi(TEAM, 'POST', '/vms/target-2/drain', { purpose: 'reboot' });
    expect(refused).toMatchObject({ body: { reason: 'budget' }, status: 409 });
  });

  it("refuses a change of another team's branch", async () => {
    const refused = await cluster.callOperatorApi(
      'office',
      'PUT',
      `/settings/${TEAM}`,
      { pools: {} },
      { 'if-match': '0' },
    );
    expect(refused).toMatchObject({ body: { reason: 'other-team' }, status: 403 });
  });
});
