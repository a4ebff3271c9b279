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
import { freePorts } from './free-ports';
import { PlatformStandIn } from './platform-stand-in';

/** Shape of an embedded site. */
export interface EmbeddedShape {
  /** Entry VMs, each with an entry and a control. */
  entries: number;
  executors: number;
  log: Logger;
  teams: string[];
}

/** Addresses of one embedded entry VM, `host:port`. */
export interface EmbeddedVm {
  control: string;
  entry: string;
  name: string;
  peers: string;
}

const SECRET = 'embedded-secret';
const START_LIMIT_MS = 20_000;
const POLL_MS = 25;
const SLOTS = 8;

/** Platform, targets and entry VMs in one process, on loopback. For the quickstart and tests only. */
export class EmbeddedSite {
  readonly directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-site-'));
  readonly executors: ExecutorStandIn[] = [];
  readonly platform = new PlatformStandIn({
    appendsPerSecond: 400,
    rebootMs: 500,
    retention: 100_000,
    secret: SECRET,
    seed: 1,
    vmListLagMs: 100,
  });
  readonly #processes: Promise<void>[] = [];
  readonly #servers: Server[] = [];
  readonly #stop = new AbortController();
  readonly vms: EmbeddedVm[] = [];

  private constructor(private readonly shape: EmbeddedShape) {
    // All parts of all embedded processes stop by this one signal.
    setMaxListeners(0, this.#stop.signal);
    writeFileSync(this.secretFile, SECRET);
    for (const team of shape.teams) {
      writeFileSync(this.tokenFile(team), tokenOf(team));
    }
  }

  /** Starts a site and waits until its entries are ready and its targets registered. */
  static async start(shape: EmbeddedShape): Promise<EmbeddedSite> {
    const site = new EmbeddedSite(shape);
    const ports = await freePorts(1 + shape.executors + 3 * shape.entries);
    const platformAddress = toAddress(ports);
    site.#servers.push(await listen(site.platform.app, platformAddress));
    for (let index = 0; index < shape.executors; index += 1) {
      await site.#startExecutor(`target-${index}`, toAddress(ports), index);
    }
    for (let index = 0; index < shape.entries; index += 1) {
      const [entry, peers, control] = [toAddress(ports), toAddress(ports), toAddress(ports)];
      site.vms.push({ control, entry, name: `vm-${index}`, peers });
    }
    for (const [index, vm] of site.vms.entries()) {
      site.#startVm(index, vm, platformAddress);
    }
    await site.#waitReady();
    return site;
  }

  get secretFile(): string {
    return join(this.directory, 'secret');
  }

  /** File with the bearer token of a team. */
  tokenFile(team: string): string {
    return join(this.directory, `token-${team}`);
  }

  /** Stops all parts and removes the site's files. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#processes);
    await Promise.all(this.#servers.map(closeServer));
    rmSync(this.directory, { force: true, recursive: true });
  }

  async #startExecutor(name: string, address: string, index: number): Promise<void> {
    const executor = new ExecutorStandIn(name);
    this.executors.push(executor);
    this.#servers.push(await listen(executor.app, address));
    this.platform.putVm({
      address,
      connections: 64,
      id: name,
      rack: `rack-${index}`,
      role: 'target',
      slots: SLOTS,
      state: 'live',
      zone: `zone-${index % 3}`,
    });
  }

  #startVm(index: number, vm: EmbeddedVm, platformAddress: string): void {
    const { log, teams } = this.shape;
    const controls = [...this.vms.slice(index), ...this.vms.slice(0, index)].map(({ control }) => control);
    const common = {
      platform: { addresses: [`http://${platformAddress}`], timeoutMs: 2000 },
      secretFile: this.secretFile,
      vm: vm.name,
      zone: `zone-${index % 3}`,
    };
    const control = controlSettingsSchema.parse({
      ...common,
      listen: vm.control,
      name: `control-${index}`,
      peers: controls.slice(1),
      teamTokens: Object.fromEntries(teams.map((team) => [team, digestOf(tokenOf(team))])),
      vmListPollMs: 200,
    });
    const entry = entrySettingsSchema.parse({
      ...common,
      controls,
      listen: vm.entry,
      name: `entry-${index}`,
      peerListen: vm.peers,
    });
    const timers = new SystemTimerService();
    this.#processes.push(runControl(control, SECRET, log, timers, this.#stop.signal));
    this.#processes.push(runEntry(entry, SECRET, log, timers, this.#stop.signal));
  }

  async #waitReady(): Promise<void> {
    const until = Date.now() + START_LIMIT_MS;
    while (!(await this.#isReady())) {
      if (Date.now() > until) {
        throw new Error(`the embedded site was not ready within ${START_LIMIT_MS} ms`);
      }
      await delay(POLL_MS);
    }
  }

  async #isReady(): Promise<boolean> {
    const [team = ''] = this.shape.teams;
    const headers = { authorization: `Bearer ${tokenOf(team)}` };
    const checks = this.vms.map(async ({ control, entry }) => {
      const ready = await fetch(`http://${entry}/readyz`).catch(() => undefined);
      const vms = await fetch(`http://${control}/v1/vms`, { headers }).catch(() => undefined);
      const listed = vms?.ok === true ? ((await vms.json()) as unknown[]).length : 0;
      return ready?.ok === true && listed >= this.shape.executors;
    });
    return (await Promise.all(checks)).every(Boolean);
  }
}

/** Bearer token of a team of an embedded site. */
export function tokenOf(team: string): string {
  return `token-of-${team}`;
}

function digestOf(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function toAddress(ports: number[]): string {
  return `127.0.0.1:${ports.shift() ?? 0}`;
}
