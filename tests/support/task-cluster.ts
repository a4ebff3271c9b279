import type { TaskRecord } from '@sequoiaquay/core';
import type { TaskView } from '@sequoiaquay/entry';
import type { WorkerRunRecord } from '@sequoiaquay/stand-ins';
import { callJson, Cluster } from './cluster';
import { waitFor } from './wait-for';

/** Team that owns the pool of the tasks, `batch`. */
export const TASK_TEAM = 'voyages';

const JOB_SETTINGS = { task: { accelerators: 0, memoryMb: 1024, processors: 1 }, timeoutMs: 5000 };

/** Task settings of the entries in tests: the default times (in ms) divided by about ten. */
export const FAST_TASK_SETTINGS = {
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

/** Work of a task, as the worker stand-in interprets it. */
export interface TaskWork {
  /** Whether the work can be checkpointed and continued elsewhere; true by default. */
  checkpoint?: boolean;
  /** Whether every run of the task fails. */
  fail?: boolean;
  nonce: string;
  /** Duration of the run, in ms. */
  runMs: number;
}

/** Answer of an entry to a request for a task. */
export interface SubmitResult {
  id: string;
  outcome: string | null;
  reason?: string;
  status: number;
}

/** Starts a cluster with all workers in the pool `batch` and waits until every entry accepts tasks for it. */
export async function startTaskCluster(
  options: { entries: number; platformArgs?: string[]; workers: number },
  taskSettings: Record<string, number> = {},
): Promise<Cluster> {
  const cluster = await Cluster.start({
    ...options,
    entrySettings: { tasks: { ...FAST_TASK_SETTINGS, ...taskSettings } },
    executors: 0,
    teams: [TASK_TEAM],
  });
  await cluster.waitForVms();
  await applyPoolSettings(cluster);
  await Promise.all(cluster.workers.map((worker) => moveToBatchPool(cluster, worker.name)));
  await waitFor('all workers serving in the pool', 10_000, async () => {
    const vms = await listVms(cluster);
    return vms.every((vm) => vm.pool === 'batch' && vm.serving) ? true : undefined;
  });
  await Promise.all(
    cluster.entries.map((vm) =>
      waitFor('settings in force', 5000, async () =>
        (await submitTask(vm.url, 'render', { nonce: 'ready', runMs: 0 })).status === 202 ? true : undefined,
      ),
    ),
  );
  return cluster;
}

/** Returns the VMs as the operators' interface lists them. */
export async function listVms(
  cluster: Cluster,
): Promise<{ id: string; pool: string; serving: boolean; state: string }[]> {
  const { body } = await cluster.callOperatorApi(TASK_TEAM, 'GET', '/vms');
  return body as unknown as { id: string; pool: string; serving: boolean; state: string }[];
}

/** Submits a task of the pool `batch` to an entry. */
export async function submitTask(
  url: string,
  job: string,
  work: TaskWork,
  headers: Record<string, string> = {},
): Promise<SubmitResult> {
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

/** Returns the state of a task as an entry reports it. */
export function getTask(url: string, id: string): Promise<TaskView> {
  return callJson<TaskView>(`${url}/v1/tasks/${id}`, 'GET', {});
}

/** Waits until an entry reports a task in the given state. */
export function waitForState(
  url: string,
  id: string,
  state: TaskView['state'],
  timeoutMs = 15_000,
): Promise<TaskView> {
  return waitFor(`state ${state} of task ${id}`, timeoutMs, async () => {
    const task = await getTask(url, id);
    return task.state === state ? task : undefined;
  });
}

/** Returns all runs that the reachable workers recorded, oldest first; `on` is the name of the worker. */
export async function listRuns(cluster: Cluster): Promise<(WorkerRunRecord & { on: string })[]> {
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

/** Returns the runs that the reachable workers recorded for a nonce, oldest first. */
export async function listRunsOf(
  cluster: Cluster,
  nonce: string,
): Promise<(WorkerRunRecord & { on: string })[]> {
  return (await listRuns(cluster)).filter((run) => run.nonce === nonce);
}

/** Returns the records of a task that the log holds, in log order. */
export async function listTaskRecords(cluster: Cluster, id: string): Promise<TaskRecord[]> {
  const { records } = await cluster.callAdminApi<{ records: { value: TaskRecord }[] }>(
    'GET',
    '/streams/work',
  );
  return records
    .map((record) => record.value)
    .filter((record) => (record.kind === 'task' ? record.id : record.task) === id);
}

/** Sets the faults that a worker injects. */
export function setWorkerFaults(
  cluster: Cluster,
  index: number,
  faults: Record<string, unknown>,
): Promise<unknown> {
  return callJson(`http://${cluster.workers[index]?.address ?? ''}/admin/faults`, 'PUT', {}, faults);
}

async function applyPoolSettings(cluster: Cluster): Promise<void> {
  const branch = {
    pools: {
      batch: {
        jobs: {
          charge: { ...JOB_SETTINGS, repeatable: false },
          index: { ...JOB_SETTINGS, repeatable: true },
          render: { ...JOB_SETTINGS, repeatable: true },
          rush: { ...JOB_SETTINGS, repeatable: true, urgent: true },
        },
        minServing: 1,
      },
    },
  };
  await cluster.callOperatorApi(TASK_TEAM, 'PUT', `/settings/${TASK_TEAM}`, branch, { 'if-match': '0' });
}

async function moveToBatchPool(cluster: Cluster, vm: string): Promise<void> {
  await cluster.callOperatorApi(TASK_TEAM, 'POST', `/vms/${vm}/move`, { to: 'batch' });
}
