import type { Execution } from '@sequoiaquay/stand-ins';
import { expect } from 'vitest';
import type { ClusterShape } from './cluster';
import { callJson, Cluster } from './cluster';
import { waitFor } from './wait-for';

/** Team of the proofs. */
export const TEAM = 'voyages';

const LIMIT_MS = 20_000;

/**
 * Starts a cluster whose targets are all in the pool `bookings` with the jobs `charge` (not repeatable) and
 * `quote` (repeatable), and waits until every entry serves both.
 */
export async function startBookings(shape: ClusterShape, timeoutMs = 5000): Promise<Cluster> {
  const cluster = await Cluster.start({ teams: [TEAM], ...shape });
  await cluster.waitForVms();
  const jobs = { charge: { repeatable: false, timeoutMs }, quote: { repeatable: true, timeoutMs } };
  const applied = await cluster.operate(
    TEAM,
    'PUT',
    `/settings/${TEAM}`,
    { pools: { bookings: { jobs, keptShortSlots: 0, minServing: 0 } } },
    { 'if-match': '0' },
  );
  expect(applied).toMatchObject({ body: { accepted: true }, status: 200 });
  for (const executor of cluster.executors) {
    await moveToBookings(cluster, executor.name);
  }
  await Promise.all(
    cluster.entries.map((vm, index) =>
      waitFor('service of both jobs', LIMIT_MS, async () => {
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

/** Moves a VM to the pool and waits until it serves there. */
export async function moveToBookings(cluster: Cluster, vm: string): Promise<void> {
  const moved = await cluster.operate(TEAM, 'POST', `/vms/${vm}/move`, { to: 'bookings' });
  expect(moved).toMatchObject({ body: { accepted: true } });
  await waitFor(`service of ${vm}`, LIMIT_MS, async () => {
    const { body } = await cluster.operate(TEAM, 'GET', '/vms');
    const vms = body as unknown as { id: string; pool: string; serving: boolean }[];
    const found = vms.find((candidate) => candidate.id === vm);
    return found?.pool === 'bookings' && found.serving ? true : undefined;
  });
}

/** Everything that the targets really ran, by their own count. */
export async function executionsOf(cluster: Cluster): Promise<Execution[]> {
  const lists = await Promise.all(
    cluster.executors.map((executor) =>
      callJson<Execution[]>(`http://${executor.address}/admin/executions`, 'GET', {}),
    ),
  );
  return lists.flat();
}

/** Number of executions of each nonce. */
export async function runsByNonce(cluster: Cluster): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const execution of await executionsOf(cluster)) {
    runs.set(execution.nonce, (runs.get(execution.nonce) ?? 0) + 1);
  }
  return runs;
}
