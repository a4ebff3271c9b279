import { FaultRoute } from '@sequoiaquay/stand-ins';
import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findFreePorts } from './ports';
import { BinaryProcess } from './process';
import { waitFor } from './wait-for';

/** Secret shared by the processes of a test cluster. */
export const SECRET = 'test-secret';

/** Options of a test cluster. */
export interface ClusterOptions {
  /** Settings that override those of every control. */
  controlSettings?: Record<string, unknown>;
  /** Number of entry VMs. */
  entries: number;
  /** Settings that override those of every entry. */
  entrySettings?: Record<string, unknown>;
  /** Number of target VMs. */
  executors: number;
  /**
   * Whether a fault route stands between every entry and the platform, between the entries, and in front of
   * every target.
   */
  faultRoutes?: boolean;
  /** Additional command line arguments of the platform stand-in. */
  platformArgs?: string[];
  /** Teams with access to the operators' interface; `voyages` by default. */
  teams?: string[];
  /** Number of worker VMs; 0 by default. */
  workers?: number;
}

/** Entry VM: an entry process and a control process on the same VM. */
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
  /** Fault route from other entries to this one, if the cluster has fault routes. */
  peerRoute: FaultRoute | undefined;
  /** Fault route from the entry process to the platform, if the cluster has fault routes. */
  platformRoute: FaultRoute | undefined;
  url: string;
}

/** Target VM. */
export interface Executor {
  /** Address of the executor itself, behind the fault route. */
  address: string;
  name: string;
  process: BinaryProcess;
  /** Fault route in front of the executor, if the cluster has fault routes. */
  route: FaultRoute | undefined;
}

/** Worker VM. */
export interface Worker {
  address: string;
  name: string;
  process: BinaryProcess;
}

const WORKER_PROCESSORS = 4;
const WORKER_MEMORY_MB = 16_384;

const START_TIMEOUT_MS = 20_000;

/** Cluster of real processes on the loopback interface: platform, executors, workers and entry VMs. */
export class Cluster {
  readonly directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-'));
  readonly entries: EntryVm[] = [];
  readonly executors: Executor[] = [];
  platform!: BinaryProcess;
  readonly #routes: FaultRoute[] = [];
  platformUrl = '';
  readonly #options: ClusterOptions;
  readonly workers: Worker[] = [];

  private constructor(options: ClusterOptions) {
    this.#options = options;
    writeFileSync(join(this.directory, 'secret'), SECRET);
  }

  /** Starts a cluster and waits until all entries are ready. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    const ports = await findFreePorts(1 + options.executors + (options.workers ?? 0) + 3 * options.entries);
    await cluster.#startPlatform(ports.shift() ?? 0);
    for (let index = 0; index < options.executors; index += 1) {
      await cluster.#startExecutor(`target-${index}`, ports.shift() ?? 0, index);
    }
    const workerPorts = ports.splice(0, options.workers ?? 0);
    await Promise.all(workerPorts.map((port, index) => cluster.startWorker(`worker-${index}`, port, index)));
    const portsOfVm = Array.from({ length: options.entries }, () => ports.splice(0, 3));
    for (const [index, vmPorts] of portsOfVm.entries()) {
      await cluster.#registerEntryVm(index, vmPorts[0] ?? 0);
      cluster.entries.push(await cluster.#startEntryVm(index, vmPorts, portsOfVm));
    }
    await Promise.all(cluster.entries.map((vm) => waitUntilReady(vm.url)));
    return cluster;
  }

  /** Returns the bearer token of a team. */
  static token(team: string): string {
    return `token-of-${team}`;
  }

  /** Kills every process of the cluster and closes its fault routes. */
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

  /** Restarts the entry process of a VM with the same settings. The former process must have ended. */
  restartEntry(index: number): void {
    const vm = this.entries[index];
    if (vm !== undefined) {
      vm.entry = this.#spawn('sequoiaquay-entry', ['--config', vm.entryFile]);
    }
  }

  /** Returns the VMs as the control of the first entry VM lists them for a team. */
  async listVms(team: string): Promise<{ id: string; pool: string; state: string }[]> {
    const { body } = await this.callOperatorApi(team, 'GET', '/vms');
    return body as unknown as { id: string; pool: string; state: string }[];
  }

  /** Starts another executor and adds it to the platform's VM list. */
  async addExecutor(index: number): Promise<void> {
    const [port] = await findFreePorts(1);
    await this.#startExecutor(`target-${index}`, port ?? 0, index);
  }

  async #openRoute(address: string): Promise<{ address: string; route: FaultRoute | undefined }> {
    if (this.#options.faultRoutes !== true) {
      return { address, route: undefined };
    }
    const [host, port] = address.split(':');
    const route = new FaultRoute({ host: host ?? '', port: Number(port) });
    this.#routes.push(route);
    return { address: `127.0.0.1:${await route.listenOnFreePort()}`, route };
  }

  /** Restarts the entry process of a VM and waits until it is ready. */
  async restartReadyEntry(index: number): Promise<void> {
    this.restartEntry(index);
    await waitUntilReady(this.#getEntryVm(index).url);
  }

  /** Restarts the control process of a VM and waits until it is ready. The former process must have ended. */
  async restartControl(index: number): Promise<void> {
    const vm = this.#getEntryVm(index);
    vm.control = this.#spawn('sequoiaquay-control', [
      '--config',
      join(this.directory, `control-${index}.json`),
    ]);
    await waitUntilReady(vm.controlUrl);
  }

  /** Calls the admin interface of the platform stand-in; fails on status 400 and above. */
  async callAdminApi<T>(method: string, path: string, body?: unknown): Promise<T> {
    return callJson<T>(`${this.platformUrl}/admin${path}`, method, {}, body);
  }

  /** Returns the element of a VM on the platform's VM list, or an empty object if the VM is not listed. */
  async getListedVm(vm: string): Promise<Record<string, unknown>> {
    const list = await callJson<{ vms: ({ id: string } & Record<string, unknown>)[] }>(
      `${this.platformUrl}/v1/vms`,
      'GET',
      { authorization: `Bearer ${SECRET}` },
    );
    return list.vms.find(({ id }) => id === vm) ?? {};
  }

  /**
   * Calls the operators' interface of a control with the token of a team.
   *
   * @param index Index of the entry VM whose control is called.
   */
  async callOperatorApi(
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

  /** Waits until the operators' interface of the first control lists all executors and workers. */
  async waitForVms(): Promise<void> {
    await waitFor('registration of all VMs', START_TIMEOUT_MS, async () => {
      const answer = await this.callOperatorApi(this.#getTeams()[0] ?? '', 'GET', '/vms');
      return (answer.body as unknown as unknown[]).length >= this.executors.length + this.workers.length
        ? true
        : undefined;
    });
  }

  #getEntryVm(index: number): EntryVm {
    const vm = this.entries[index];
    if (vm === undefined) {
      throw new Error(`the cluster has no entry VM ${index}`);
    }
    return vm;
  }

  #getTeams(): string[] {
    return this.#options.teams ?? ['voyages'];
  }

  async #startPlatform(port: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    this.platformUrl = `http://${address}`;
    const args = ['--listen', address, '--secret', SECRET, '--vm-list-lag-ms', '100'];
    this.platform = this.#spawn('stand-in-platform', [...args, ...(this.#options.platformArgs ?? [])]);
    await waitFor('start of the platform', START_TIMEOUT_MS, () => this.callAdminApi('GET', '/counters'));
  }

  async #startExecutor(name: string, port: number, index: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    const child = this.#spawn('stand-in-executor', ['--listen', address, '--name', name]);
    const routed = await this.#openRoute(address);
    this.executors.push({ address, name, process: child, route: routed.route });
    await waitFor(`start of ${name}`, START_TIMEOUT_MS, () =>
      callJson(`http://${address}/healthz`, 'GET', {}),
    );
    await this.callAdminApi('PUT', `/vms/${name}`, {
      address: routed.address,
      connections: 64,
      id: name,
      rack: `rack-${index}`,
      role: 'target',
      slots: 8,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  /** Starts a worker, or restarts it at the same address, and adds it to the platform's VM list. */
  async startWorker(name: string, port: number, index: number): Promise<void> {
    const address = `127.0.0.1:${port}`;
    const args = ['--listen', address, '--name', name, '--secret', SECRET];
    const size = ['--processors', String(WORKER_PROCESSORS), '--memory-mb', String(WORKER_MEMORY_MB)];
    const child = this.#spawn('stand-in-worker', [...args, ...size]);
    this.workers[index] = { address, name, process: child };
    await waitFor(`start of ${name}`, START_TIMEOUT_MS, () =>
      callJson(`http://${address}/healthz`, 'GET', {}),
    );
    await this.callAdminApi('PUT', `/vms/${name}`, {
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

  async #registerEntryVm(index: number, port: number): Promise<void> {
    await this.callAdminApi('PUT', `/vms/vm-${index}`, {
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

  async #startEntryVm(index: number, ports: number[], portsOfVm: number[][]): Promise<EntryVm> {
    const name = `vm-${index}`;
    const controls = [...portsOfVm.slice(index), ...portsOfVm.slice(0, index)].map(
      (vmPorts) => `127.0.0.1:${vmPorts[2] ?? 0}`,
    );
    const common = {
      logLevel: 'info',
      platform: { addresses: [this.platformUrl], timeoutMs: 2000 },
      secretFile: join(this.directory, 'secret'),
      vm: name,
      zone: `zone-${index % 3}`,
    };
    const peerAddress = `127.0.0.1:${ports[1] ?? 0}`;
    const platform = await this.#openRoute(this.platformUrl.replace('http://', ''));
    const peer = await this.#openRoute(peerAddress);
    const entryFile = this.#writeSettings(`entry-${index}.json`, {
      ...common,
      platform: { ...common.platform, addresses: [`http://${platform.address}`] },
      controls,
      listen: `127.0.0.1:${ports[0] ?? 0}`,
      name: `entry-${index}`,
      peerAdvertise: peer.address,
      peerListen: peerAddress,
      ...this.#options.entrySettings,
    });
    const controlFile = this.#writeSettings(`control-${index}.json`, {
      ...common,
      listen: controls[0],
      name: `control-${index}`,
      peers: controls.slice(1),
      teamTokens: Object.fromEntries(this.#getTeams().map((team) => [team, sha256(Cluster.token(team))])),
      vmListPollMs: 200,
      ...this.#options.controlSettings,
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
      platformRoute: platform.route,
      url: `http://127.0.0.1:${ports[0] ?? 0}`,
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

/** Sends an HTTP request with a JSON body and returns the JSON answer; fails on status 400 and above. */
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

async function waitUntilReady(url: string): Promise<void> {
  await waitFor(`readiness of ${url}`, START_TIMEOUT_MS, () => callJson(`${url}/readyz`, 'GET', {}));
}
