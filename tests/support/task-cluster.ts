import type { TaskRecord } from '@sequoiaquay/core';
import type { TaskView } from '@sequoiaquay/entry';
import type { WorkerRunRecord } from '@sequoiaquay/stand-ins';
import { callJson, Cluster } from './cluster';
import { waitFor } from './wait-for';

/** Team and pool of the tasks in tests. */
export const TASK_TEAM = 'voyages';

const JOB = { task: { accelerators: 0, memoryMb: 1024, processors: 1 }, timeoutMs: 5000 };

/** Task settings of the entries in tests: the defaults divided by about ten. Times in ms. */
export const FAST_TASKS = {
  leaseMs: 2000,
  pollMs: 100,
  probeAfterMs: 1500,
  renewMs: 300,
  skewMs: 200,
  takeoverMs: 200,
  tickMs: 50,
  workerFailureLimit: 3,
  workerTimeoutMs: 400,
};

/** Work that a task asks the worker stand-in for. */
export interface TaskWork {
  checkpoint?: boolean;
  fail?: boolean;
  nonce: string;
  runMs: number;
}

/** What came of a request for a task. */
export interface Submitted {
  id: string;
  outcome: string | null;
  reason?: string;
  status: number;
}

/** Starts a cluster whose pool `batch` has all workers. */
export async function startTaskCluster(
  shape: { entries: number; platformArgs?: string[]; workers: number },
  tasks: Record<string, number> = {},
): Promise<Cluster> {
  const cluster = await Cluster.start({
    ...shape,
    entrySettings: { tasks: { ...FAST_TASKS, ...tasks } },
    executors: 0,
    teams: [TASK_TEAM],
  });
  await cluster.waitForVms();
  await applyPool(cluster);
  await Promise.all(cluster.workers.map((worker) => moveIn(cluster, worker.name)));
  await waitFor('all workers serving in the pool', 10_000, async () => {
    const vms = await listVms(cluster);
    return vms.every((vm) => vm.pool === 'batch' && vm.serving) ? true : undefined;
  });
  await Promise.all(
    cluster.entries.map((vm) =>
      waitFor('settings in force', 5000, async () =>
        (await submit(vm.url, 'render', { nonce: 'ready', runMs: 0 })).status === 202 ? true : undefined,
      ),
    ),
  );
  return cluster;
}

/** VMs as the operators' interface lists them. */
export async function listVms(
  cluster: Cluster,
): Promise<{ id: string; pool: string; serving: boolean; state: string }[]> {
  const { body } = await cluster.operate(TASK_TEAM, 'GET', '/vms');
  return body as unknown as { id: string; pool: string; serving: boolean; state: string }[];
}

/** Asks an entry for a task of the pool `batch`. */
export async function submit(
  url: string,
  job: string,
  work: TaskWork,
  headers: Record<string, string> = {},
): Promise<Submitted> {
  const res = await fetch(`${url}/v1/pools/batch/jobs/${job}`, {
    body: JSON.stringify(work),
    headers: { 'content-type': 'application/json', prefer: 'respond-async', ...headers },
    method: 'POST',
  });
  const body = (await res.json()) as { id?: string; reason?: string };
  return {
    id: body.id ?? '',
    outcome: res.headers.get('sequoiaquay-outcome'),
    reason: body.reason,
    status: res.status,
  };
}

/** State of a task as an entry shows it. */
export function view(url: string, id: string): Promise<TaskView> {
  return callJson<TaskView>(`${url}/v1/tasks/${id}`, 'GET', {});
}

/** Waits until an entry shows a task in a state. */
export function waitState(
  url: string,
  id: string,
  state: TaskView['state'],
  limitMs = 15_000,
): Promise<TaskView> {
  return waitFor(`state ${state} of task ${id}`, limitMs, async () => {
    const seen = await view(url, id);
    return seen.state === state ? seen : undefined;
  });
}

/** Everything that the workers' own records say they started, oldest first; `on` names the worker. */
export async function allRuns(cluster: Cluster): Promise<(WorkerRunRecord & { on: string })[]> {
  const lists = await Promise.all(
    cluster.workers.map(async (worker) => {
      const runs = await callJson<WorkerRunRecord[]>(`http://${worker.address}/admin/runs`, 'GET', {}).catch(
        () => [],
      );
      return runs.map((run) => ({ ...run, on: worker.name }));
    }),
  );
  return lists.flat().sort((a, b) => a.startedAt - b.startedAt);
}

/** What the workers' own records say they started for a nonce, oldest first. */
export async function runsOf(cluster: Cluster, nonce: string): Promise<(WorkerRunRecord & { on: string })[]> {
  return (await allRuns(cluster)).filter((run) => run.nonce === nonce);
}

/** Records about a task in the log's own store, in log order. */
export async function recordsOf(cluster: Cluster, id: string): Promise<TaskRecord[]> {
  const { records } = await cluster.admin<{ records: { value: TaskRecord }[] }>('GET', '/streams/work');
  return records
    .map((record) => record.value)
    .filter((record) => (record.kind === 'task' ? record.id : record.task) === id);
}

/** Tells a worker which faults to show. */
export function setWorkerFaults(
  cluster: Cluster,
  index: number,
  faults: Record<string, unknown>,
): Promise<unknown> {
  return callJson(`http://${cluster.workers[index]?.address ?? ''}/admin/faults`, 'PUT', {}, faults);
}

async function applyPool(cluster: Cluster): Promise<void> {
  const branch = {
    pools: {
      batch: {
        jobs: {
          charge: { ...JOB, repeatable: false },
          index: { ...JOB, repeatable: true },
          render: { ...JOB, repeatable: true },
          rush: { ...JOB, repeatable: true, urgent: true },
        },
        minServing: 1,
      },
    },
  };
  await cluster.operate(TASK_TEAM, 'PUT', `/settings/${TASK_TEAM}`, branch, { 'if-match': '0' });
}

async function moveIn(cluster: Cluster, vm: string): Promise<void> {
  await cluster.operate(TASK_TEAM, 'POST', `/vms/${vm}/move`, { to: 'batch' });
}
