import type { Logger } from '@sequoiaquay/runtime';
import type { Server } from 'node:http';
import { controlSettingsSchema } from '@sequoiaquay/control';
import { runControl } from '@sequoiaquay/control/run';
import { entrySettingsSchema } from '@sequoiaquay/entry';
import { runEntry } from '@sequoiaquay/entry/run';
import { closeServer, listen, SystemTimerService } from '@sequoiaquay/runtime';
import { createHash } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { ExecutorStandIn } from './executor-stand-in';
import { findFreePorts } from './free-ports';
import { PlatformStandIn } from './platform-stand-in';
import { WorkerStandIn } from './worker-stand-in';

/** Options of an embedded site. */
export interface EmbeddedSiteOptions {
  /** Number of entry VMs, each with an entry and a control. */
  entries: number;
  /** Number of targets, each run by an executor stand-in. */
  executors: number;
  log: Logger;
  teams: string[];
  /** Number of workers with 16 processors and 64 GB each; 0 by default. */
  workers?: number;
}

/** Name of an embedded entry VM and the `host:port` addresses of its processes. */
export interface EmbeddedVm {
  controlAddress: string;
  entryAddress: string;
  name: string;
  peerAddress: string;
}

const SECRET = 'embedded-secret';
const START_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 25;
const SLOTS_PER_VM = 8;
const WORKER_CAPACITY = { accelerators: 0, memoryMb: 65_536, processors: 16 };

/**
 * Runs a platform stand-in, targets, workers and entry VMs in one process on loopback. For the quickstart and
 * tests only.
 */
export class EmbeddedSite {
  readonly directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-site-'));
  readonly executors: ExecutorStandIn[] = [];
  readonly platform = new PlatformStandIn({
    appendsPerSecond: 400,
    rebootMs: 500,
    retentionRecords: 100_000,
    secret: SECRET,
    seed: 1,
    vmListLagMs: 100,
  });
  readonly #runningProcesses: Promise<void>[] = [];
  readonly #servers: Server[] = [];
  readonly #stopController = new AbortController();
  readonly vms: EmbeddedVm[] = [];

  private constructor(private readonly options: EmbeddedSiteOptions) {
    // Every component of all embedded processes listens to this signal, more than the default limit allows.
    setMaxListeners(0, this.#stopController.signal);
    writeFileSync(this.secretFile, SECRET);
    for (const team of options.teams) {
      writeFileSync(this.tokenFile(team), getTeamToken(team));
    }
  }

  /**
   * Starts a site and waits until its entries are ready and every control lists its targets and workers. Fails
   * if that takes longer than 20 s.
   */
  static async start(options: EmbeddedSiteOptions): Promise<EmbeddedSite> {
    const site = new EmbeddedSite(options);
    const workers = options.workers ?? 0;
    const ports = await findFreePorts(1 + options.executors + workers + 3 * options.entries);
    const platformAddress = nextAddress(ports);
    site.#servers.push(await listen(site.platform.app, platformAddress));
    for (let index = 0; index < options.executors; index += 1) {
      await site.#startExecutor(`target-${index}`, nextAddress(ports), index);
    }
    for (let index = 0; index < workers; index += 1) {
      await site.#startWorker(`worker-${index}`, nextAddress(ports), index);
    }
    for (let index = 0; index < options.entries; index += 1) {
      const [entryAddress, peerAddress, controlAddress] = [
        nextAddress(ports),
        nextAddress(ports),
        nextAddress(ports),
      ];
      site.vms.push({
        controlAddress,
        entryAddress,
        name: `vm-${index}`,
        peerAddress,
      });
    }
    for (const [index, vm] of site.vms.entries()) {
      site.#startVm(index, vm, platformAddress);
    }
    await site.#waitUntilReady();
    return site;
  }

  /** Path of the file with the secret that the processes and the platform share. */
  get secretFile(): string {
    return join(this.directory, 'secret');
  }

  /** Returns the path of the file with the bearer token of a team. */
  tokenFile(team: string): string {
    return join(this.directory, `token-${team}`);
  }

  /** Stops all processes and servers and removes the site's files. */
  async stop(): Promise<void> {
    this.#stopController.abort();
    await Promise.all(this.#runningProcesses);
    await Promise.all(this.#servers.map(closeServer));
    rmSync(this.directory, { force: true, recursive: true });
  }

  async #startExecutor(name: string, address: string, index: number): Promise<void> {
    const executor = new ExecutorStandIn(name);
    this.executors.push(executor);
    this.#servers.push(await listen(executor.app, address));
    this.#putVm(name, address, index, 'target');
  }

  async #startWorker(name: string, address: string, index: number): Promise<void> {
    const worker = new WorkerStandIn({ capacity: WORKER_CAPACITY, name, secret: SECRET, usageLagMs: 200 });
    worker.start();
    this.#servers.push(await listen(worker.app, address));
    this.#putVm(name, address, index, 'worker');
  }

  #putVm(name: string, address: string, index: number, role: 'target' | 'worker'): void {
    this.platform.putVm({
      address,
      connections: 64,
      id: name,
      rack: `rack-${index}`,
      role,
      slots: SLOTS_PER_VM,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  #startVm(index: number, vm: EmbeddedVm, platformAddress: string): void {
    const { log, teams } = this.options;
    const controlAddresses = [...this.vms.slice(index), ...this.vms.slice(0, index)].map(
      ({ controlAddress }) => controlAddress,
    );
    const commonSettings = {
      platform: { addresses: [`http://${platformAddress}`], timeoutMs: 2000 },
      secretFile: this.secretFile,
      vm: vm.name,
      zone: `zone-${index % 3}`,
    };
    const controlSettings = controlSettingsSchema.parse({
      ...commonSettings,
      listen: vm.controlAddress,
      name: `control-${index}`,
      peers: controlAddresses.slice(1),
      teamTokens: Object.fromEntries(teams.map((team) => [team, sha256Hex(getTeamToken(team))])),
      vmListPollMs: 200,
    });
    const entrySettings = entrySettingsSchema.parse({
      ...commonSettings,
      controls: controlAddresses,
      listen: vm.entryAddress,
      name: `entry-${index}`,
      peerListen: vm.peerAddress,
    });
    const timers = new SystemTimerService();
    this.#runningProcesses.push(
      runControl(controlSettings, SECRET, log, timers, this.#stopController.signal),
    );
    this.#runningProcesses.push(runEntry(entrySettings, SECRET, log, timers, this.#stopController.signal));
  }

  async #waitUntilReady(): Promise<void> {
    const deadlineAt = Date.now() + START_TIMEOUT_MS;
    while (!(await this.#isReady())) {
      if (Date.now() > deadlineAt) {
        throw new Error(`the embedded site was not ready within ${START_TIMEOUT_MS} ms`);
      }
      await delay(READY_POLL_INTERVAL_MS);
    }
  }

  async #isReady(): Promise<boolean> {
    const [team = ''] = this.options.teams;
    const headers = { authorization: `Bearer ${getTeamToken(team)}` };
    const checks = this.vms.map(async ({ controlAddress, entryAddress }) => {
      const readinessRes = await fetch(`http://${entryAddress}/readyz`).catch(() => undefined);
      const vmsRes = await fetch(`http://${controlAddress}/v1/vms`, { headers }).catch(() => undefined);
      const vmCount = vmsRes?.ok === true ? ((await vmsRes.json()) as unknown[]).length : 0;
      return readinessRes?.ok === true && vmCount >= this.options.executors + (this.options.workers ?? 0);
    });
    return (await Promise.all(checks)).every(Boolean);
  }
}

/** Returns the bearer token of a team of an embedded site. */
export function getTeamToken(team: string): string {
  return `token-of-${team}`;
}

function sha256Hex(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function nextAddress(ports: number[]): string {
  return `127.0.0.1:${ports.shift() ?? 0}`;
}
