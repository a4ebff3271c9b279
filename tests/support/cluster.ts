import { FaultRoute } from '@sequoiaquay/stand-ins';
import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePorts } from './ports';
import { BinaryProcess } from './process';
import { waitFor } from './wait-for';

/** Secret shared by the processes of a test cluster. */
export const SECRET = 'test-secret';

/** Shape of a test cluster. */
export interface ClusterShape {
  /** Settings laid over those of every control. */
  controlSettings?: Record<string, unknown>;
  entries: number;
  /** Settings laid over those of every entry. */
  entrySettings?: Record<string, unknown>;
  executors: number;
  /** Puts a fault route between every entry and the platform, and before every target. */
  faultRoutes?: boolean;
  /** Arguments added for the platform stand-in. */
  platformArgs?: string[];
  teams?: string[];
  /** Number of workers. */
  workers?: number;
}

/** One entry VM: an entry process and the control process beside it. */
export interface EntryVm {
  control: BinaryProcess;
  /** Settings file of the control process. */
  controlFile: string;
  controlUrl: string;
  entry: BinaryProcess;
  /** Settings file of the entry process. */
  entryFile: string;
  name: string;
  peerAddress: string;
  /** Route from other entries to this one, when the cluster has fault routes. */
  peerRoute: FaultRoute | undefined;
  /** Route from the entry process to the platform, when the cluster has fault routes. */
  platformRoute: FaultRoute | undefined;
  url: string;
}

/** One target VM. */
export interface Executor {
  /** Address of the executor itself. */
  address: string;
  name: string;
  process: BinaryProcess;
  /** Route before the executor, when the cluster has fault routes. */
  route: FaultRoute | undefined;
}

/** One worker VM. */
export interface Worker {
  address: string;
  name: string;
  process: BinaryProcess;
}

const WORKER_PROCESSORS = 4;
const WORKER_MEMORY_MB = 16_384;

const START_LIMIT_MS = 20_000;

/** Cluster of real processes on loopback: platform, executors, and entry VMs. */
export class Cluster {
  readonly directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-'));
  readonly entries: EntryVm[] = [];
  readonly executors: Executor[] = [];
  platform!: BinaryProcess;
  readonly #routes: FaultRoute[] = [];
  platformUrl = '';
  readonly #shape: ClusterShape;
  readonly workers: Worker[] = [];

  private constructor(shape: ClusterShape) {
    this.#shape = shape;
    writeFileSync(join(this.directory, 'secret'), SECRET);
  }

  /** Starts a cluster and waits until all entries are ready. */
  static async start(shape: ClusterShape): Promise<Cluster> {
    const cluster = new Cluster(shape);
    const ports = await freePorts(1 + shape.executors + (shape.workers ?? 0) + 3 * shape.entries);
    await cluster.#startPlatform(ports.shift() ?? 0);
    for (let index = 0; index < shape.executors; index += 1) {
      await cluster.#startExecutor(`target-${index}`, ports.shift() ?? 0, index);
    }
    const workerPorts = ports.splice(0, shape.workers ?? 0);
    await Promise.all(workerPorts.map((port, index) => cluster.startWorker(`worker-${index}`, port, index)));
    const portsOfVm = Array.from({ length: shape.entries }, () => ports.splice(0, 3));
    for (const [index, own] of portsOfVm.entries()) {
      await cluster.#listEntryVm(index, own[0] ?? 0);
      cluster.entries.push(await cluster.#startEntryVm(index, own, portsOfVm));
    }
    await Promise.all(cluster.entries.map((vm) => waitReady(vm.url)));
    return cluster;
  }

  /** Bearer token of a team. */
  static token(team: string): string {
    return `token-of-${team}`;
  }

  /** Kills every process of the cluster. */
  async stop(): Promise<void> {
    const all = [
      this.platform,
      ...this.executors.map((executor) => executor.process),
      ...this.workers.map((worker) => worker.process),
      ...this.entries.flatMap((vm) => [vm.entry, vm.control]),
    ];
    await Promise.all(all.map((child) => child.stop()));
    for (const route of this.#routes) {
      route.close();
    }
  }

  /** Starts the entry process of a VM again, with the same settings; it must have ended. */
  restartEntry(index: number): void {
    const vm = this.entries[index];
    if (vm !== undefined) {
      vm.entry = this.#spawn('sequoiaquay-entry', ['--config', vm.entryFile]);
    }
  }

  /** Target VMs as one of the controls that answer sees them. */
  async vmsOf(team: string): Promise<{ id: string; pool: string; state: string }[]> {
    const { body } = await this.operate(team, 'GET', '/vms');
    return body as unknown as { id: string; pool: string; state: string }[];
  }

  /** Starts another executor and puts it on the platform's list. */
  async addExecutor(index: number): Promise<void> {
    const [port] = await freePorts(1);
    await this.#startExecutor(`target-${index}`, port ?? 0, index);
  }

  async #openRoute(address: string): Promise<{ address: string; route: FaultRoute | undefined }> {
    if (this.#shape.faultRoutes !== true) {
      return { address, route: undefined };
    }
    const [host, port] = address.split(':');
    const route = new FaultRoute({ host: host ?? '', port: Number(port) });
    this.#routes.push(route);
    return { address: `127.0.0.1:${await route.listenOnFreePort()}`, route };
  }

  /** Starts the entry process of a VM again and waits until it is ready. */
  async restartReadyEntry(index: number): Promise<void> {
    this.restartEntry(index);
    await waitReady(this.#vm(index).url);
  }

  /** Starts the control process of a VM again, after it has ended. */
  async restartControl(index: number): Promise<void> {
    const vm = this.#vm(index);
    vm.control = this.#spawn('sequoiaquay-control', [
      '--config',
      join(this.directory, `control-${index}.json`),
    ]);
    await waitReady(vm.controlUrl);
  }

  /** Calls the admin interface of the platform stand-in. */
  async admin<T>(method: string, path: string, body?: unknown): Promise<T> {
    return callJson<T>(`${this.platformUrl}/admin${path}`, method, {}, body);
  }

  /** Entry of a VM on the platform's list. */
  async listed(vm: string): Promise<Record<string, unknown>> {
    const list = await callJson<{ vms: ({ id: string } & Record<string, unknown>)[] }>(
      `${this.platformUrl}/v1/vms`,
      'GET',
      { authorization: `Bearer ${SECRET}` },
    );
    return list.vms.find(({ id }) => id === vm) ?? {};
  }

  /** Calls the operators' interface of one control as a team. */
  async operate(
    team: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    index = 0,
  ): Promise<{ body: Record<string, unknown>; status: number }> {
    const url = this.entries[index]?.controlUrl ?? '';
    const res = await fetch(`${url}/v1${path}`, {
      body: body === undefined ? undefined : JSON.stringify(body),
      headers: { authorization: `Bearer ${Cluster.token(team)}`, ...headers },
      method,
    });
    return { body: (await res.json()) as Record<string, unknown>, status: res.status };
  }

  /** Waits until the operators' interface of a control lists all executors. */
  async waitForVms(): Promise<void> {
    await waitFor('registration of all VMs', START_LIMIT_MS, async () => {
      const answer = await this.operate(this.#teams()[0] ?? '', 'GET', '/vms');
      return (answer.body as unknown as unknown[]).length >= this.executors.length + this.workers.length
        ? true
        : undefined;
    });
  }

  #vm(index: number): EntryVm {
    const vm = this.entries[index];
    if (vm === undefined) {
      throw new Error(`the cluster has no entry VM ${index}`);
    }
    return vm;
  }

  #teams(): string[] {
    return this.#shape.teams ?? ['voyages'];
  }

  async #startPlatform(port: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    this.platformUrl = `http://${address}`;
    const args = ['--listen', address, '--secret', SECRET, '--vm-list-lag-ms', '100'];
    this.platform = this.#spawn('stand-in-platform', [...args, ...(this.#shape.platformArgs ?? [])]);
    await waitFor('start of the platform', START_LIMIT_MS, () => this.admin('GET', '/counters'));
  }

  async #startExecutor(name: string, port: number, index: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    const child = this.#spawn('stand-in-executor', ['--listen', address, '--name', name]);
    const behind = await this.#openRoute(address);
    this.executors.push({ address, name, process: child, route: behind.route });
    await waitFor(`start of ${name}`, START_LIMIT_MS, () => callJson(`http://${address}/healthz`, 'GET', {}));
    await this.admin('PUT', `/vms/${name}`, {
      address: behind.address,
      connections: 64,
      id: name,
      rack: `rack-${index}`,
      role: 'target',
      slots: 8,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  /** Starts a worker, or starts it again at its address, and puts it on the VM list. */
  async startWorker(name: string, port: number, index: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    const args = ['--listen', address, '--name', name, '--secret', SECRET];
    const size = ['--processors', String(WORKER_PROCESSORS), '--memory-mb', String(WORKER_MEMORY_MB)];
    const child = this.#spawn('stand-in-worker', [...args, ...size]);
    this.workers[index] = { address, name, process: child };
    await waitFor(`start of ${name}`, START_LIMIT_MS, () => callJson(`http://${address}/healthz`, 'GET', {}));
    await this.admin('PUT', `/vms/${name}`, {
      address,
      connections: 64,
      id: name,
      rack: `rack-${index}`,
      resources: { accelerators: 0, memoryMb: WORKER_MEMORY_MB, processors: WORKER_PROCESSORS },
      role: 'worker',
      slots: WORKER_PROCESSORS,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  async #listEntryVm(index: number, port: number): Promise<void> {
    await this.admin('PUT', `/vms/vm-${index}`, {
      address: `127.0.0.1:${port}`,
      connections: 64,
      id: `vm-${index}`,
      rack: `rack-entry-${index}`,
      role: 'entry',
      slots: 1,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  async #startEntryVm(index: number, own: number[], all: number[][]): Promise<EntryVm> {
    const name = `vm-${index}`;
    const controls = [...all.slice(index), ...all.slice(0, index)].map(
      (ports) => `127.0.0.1:${ports[2] ?? 0}`,
    );
    const common = {
      logLevel: 'info',
      platform: { addresses: [this.platformUrl], timeoutMs: 2000 },
      secretFile: join(this.directory, 'secret'),
      vm: name,
      zone: `zone-${index % 3}`,
    };
    const peerAddress = `127.0.0.1:${own[1] ?? 0}`;
    const behind = await this.#openRoute(this.platformUrl.replace('http://', ''));
    const peer = await this.#openRoute(peerAddress);
    const entryFile = this.#writeSettings(`entry-${index}.json`, {
      ...common,
      platform: { ...common.platform, addresses: [`http://${behind.address}`] },
      controls,
      listen: `127.0.0.1:${own[0] ?? 0}`,
      name: `entry-${index}`,
      peerAdvertise: peer.address,
      peerListen: peerAddress,
      ...this.#shape.entrySettings,
    });
    const controlFile = this.#writeSettings(`control-${index}.json`, {
      ...common,
      listen: controls[0],
      name: `control-${index}`,
      peers: controls.slice(1),
      teamTokens: Object.fromEntries(this.#teams().map((team) => [team, sha256(Cluster.token(team))])),
      vmListPollMs: 200,
      ...this.#shape.controlSettings,
    });
    return {
      control: this.#spawn('sequoiaquay-control', ['--config', controlFile]),
      controlFile,
      controlUrl: `http://${controls[0] ?? ''}`,
      entry: this.#spawn('sequoiaquay-entry', ['--config', entryFile]),
      entryFile,
      name: `entry-${index}`,
      peerAddress,
      peerRoute: peer.route,
      platformRoute: behind.route,
      url: `http://127.0.0.1:${own[0] ?? 0}`,
    };
  }

  #writeSettings(file: string, settings: unknown): string {
    const path = join(this.directory, file);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }

  #spawn(binary: string, args: string[]): BinaryProcess {
    return new BinaryProcess(binary, args, join(this.directory, 'processes.log'));
  }
}

/** Calls an HTTP interface with a JSON body and gives the JSON answer; fails on status 400 and above. */
export async function callJson<T>(
  url: string,
  method: string,
  headers: Record<string, string>,
  body?: unknown,
): Promise<T> {
  const res = await fetch(url, {
    body: body === undefined ? undefined : JSON.stringify(body),
    headers,
    method,
  });
  if (res.status >= 400) {
    throw new Error(`${method} ${url}: status ${res.status} ${await res.text()}`);
  }
  return (await res.json()) as T;
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

async function waitReady(url: string): Promise<void> {
  await waitFor(`readiness of ${url}`, START_LIMIT_MS, () => callJson(`${url}/readyz`, 'GET', {}));
}
