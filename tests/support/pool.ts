import type { Cluster } from './cluster';
import { waitFor } from './wait-for';

/** Job settings of a pool, as sent to the operators' interface. */
export type Jobs = Record<string, { repeatable: boolean; timeoutMs: number; urgent?: boolean }>;

/**
 * Defines a pool, moves every executor into it and waits until each entry answers a request for its first
 * job.
 */
export async function setUpPool(cluster: Cluster, team: string, pool: string, jobs: Jobs): Promise<void> {
  await waitFor('acceptance of the settings', 5000, async () => {
    const branch = { pools: { [pool]: { jobs, minServing: 1 } } };
    const { body } = await cluster.callOperatorApi(team, 'PUT', `/settings/${team}`, branch, {
      'if-match': '0',
    });
    return body.accepted === true ? true : undefined;
  });
  for (const executor of cluster.executors) {
    await cluster.callOperatorApi(team, 'POST', `/vms/${executor.name}/move`, { to: pool });
  }
  await waitFor('all VMs serving in the pool', 10_000, async () => {
    const { body } = await cluster.callOperatorApi(team, 'GET', '/vms');
    const vms = body as unknown as { pool: string; serving: boolean }[];
    return vms.every((vm) => vm.pool === pool && vm.serving) ? true : undefined;
  });
  const probe = Object.keys(jobs)[0] ?? '';
  for (const { url } of cluster.entries) {
    await waitFor(`service through ${url}`, 5000, async () =>
      (await runJob(url, pool, probe, 1)).status === 200 ? true : undefined,
    );
  }
}

/** Answer to a job, with the time from request to answer in ms. */
export interface TimedAnswer {
  ms: number;
  outcome: string | null;
  status: number;
}

/** Runs a job with the given run time (in ms) through an entry. */
export async function runJob(
  url: string,
  pool: string,
  job: string,
  runMs: number,
  signal?: AbortSignal,
): Promise<TimedAnswer> {
  const startedAt = performance.now();
  const res = await fetch(`${url}/v1/pools/${pool}/jobs/${job}`, {
    body: JSON.stringify({ nonce: job, runMs }),
    headers: { 'content-type': 'application/json' },
    method: 'POST',
    signal,
  });
  await res.arrayBuffer();
  const ms = performance.now() - startedAt;
  return { ms, outcome: res.headers.get('sequoiaquay-outcome'), status: res.status };
}
