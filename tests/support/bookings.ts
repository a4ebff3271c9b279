import type { Execution } from '@sequoiaquay/stand-ins';
import { expect } from 'vitest';
import type { ClusterOptions } from './cluster';
import { callJson, Cluster } from './cluster';
import { waitFor } from './wait-for';

/** Team that owns the pool `bookings`. */
export const TEAM = 'voyages';

const SERVICE_TIMEOUT_MS = 20_000;

/**
 * Starts a cluster with every target in the pool `bookings`, which has the jobs `charge` (not repeatable) and
 * `quote` (repeatable), and waits until every entry serves both jobs.
 *
 * @param timeoutMs Timeout of both jobs, in ms.
 */
export async function startBookingsCluster(options: ClusterOptions, timeoutMs = 5000): Promise<Cluster> {
  const cluster = await Cluster.start({ teams: [TEAM], ...options });
  await cluster.waitForVms();
  const jobs = { charge: { repeatable: false, timeoutMs }, quote: { repeatable: true, timeoutMs } };
  const applied = await cluster.callOperatorApi(
    TEAM,
    'PUT',
    `/settings/${TEAM}`,
    { pools: { bookings: { jobs, keptShortSlots: 0, minServing: 0 } } },
    { 'if-match': '0' },
  );
  expect(applied).toMatchObject({ body: { accepted: true }, status: 200 });
  for (const executor of cluster.executors) {
    await moveToBookingsPool(cluster, executor.name);
  }
  await Promise.all(
    cluster.entries.map((vm, index) =>
      waitFor('service of both jobs', SERVICE_TIMEOUT_MS, async () => {
        const quote = await fetch(`${vm.url}/v1/pools/bookings/jobs/quote`, {
          body: 'ready',
          method: 'POST',
        });
        const charge = await fetch(`${vm.url}/v1/pools/bookings/jobs/charge`, {
          body: 'ready',
          headers: { 'idempotency-key': `ready-${index}-${Date.now()}` },
          method: 'POST',
        });
        return quote.status === 200 && charge.status === 200 ? true : undefined;
      }),
    ),
  );
  return cluster;
}

/** Moves a VM to the pool `bookings` and waits until it serves there. */
export async function moveToBookingsPool(cluster: Cluster, vm: string): Promise<void> {
  const moved = await cluster.callOperatorApi(TEAM, 'POST', `/vms/${vm}/move`, { to: 'bookings' });
  expect(moved).toMatchObject({ body: { accepted: true } });
  await waitFor(`service of ${vm}`, SERVICE_TIMEOUT_MS, async () => {
    const { body } = await cluster.callOperatorApi(TEAM, 'GET', '/vms');
    const vms = body as unknown as { id: string; pool: string; serving: boolean }[];
    const found = vms.find((candidate) => candidate.id === vm);
    return found?.pool === 'bookings' && found.serving ? true : undefined;
  });
}

/** Returns all executions that the targets themselves recorded. */
export async function listExecutions(cluster: Cluster): Promise<Execution[]> {
  const lists = await Promise.all(
    cluster.executors.map((executor) =>
      callJson<Execution[]>(`http://${executor.address}/admin/executions`, 'GET', {}),
    ),
  );
  return lists.flat();
}

/** Returns the number of executions of each nonce, as the targets recorded them. */
export async function countRunsByNonce(cluster: Cluster): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const execution of await listExecutions(cluster)) {
    runs.set(execution.nonce, (runs.get(execution.nonce) ?? 0) + 1);
  }
  return runs;
}
