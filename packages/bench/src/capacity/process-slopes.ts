import type { ChildProcess } from 'node:child_process';
import { listen } from '@sequoiaquay/runtime';
import { PlatformStandIn } from '@sequoiaquay/stand-ins';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Slope } from './slope';
import { CountingProxy } from './counting-proxy';
import { FleetBuilder, TARGET_SHAPE } from './fleet-builder';
import { fitSlope } from './slope';

const VM_SIZES = [10, 100, 670];
const SECRET = 'bench-secret';
const SETTLE_MS = 15_000;
/** One turn of every control at the platform's VM list, read once a second by one of them. */
const WINDOW_MS = TARGET_SHAPE.entries * 1000;
/** Clock ticks a second of the kernel's process accounting. */
const TICKS_PER_SECOND = 100;

interface Sample {
  bytesPerSecond: number;
  coreShare: number;
  privateMb: number;
  residentMb: number;
}

/** Slopes of a control process that follows a log with a fleet of several sizes. */
export async function processSlopes(): Promise<Slope[]> {
  const samples: { sample: Sample; vms: number }[] = [];
  for (const vms of VM_SIZES) {
    samples.push({ sample: await measureControl(vms), vms });
  }
  return (
    [
      ['control-resident-mb-per-vm', 'MB', 'residentMb'],
      ['control-private-mb-per-vm', 'MB', 'privateMb'],
      ['control-core-share-per-vm', 'share', 'coreShare'],
      ['control-bytes-per-second-per-vm', 'bytes/s', 'bytesPerSecond'],
    ] as const
  ).map(([id, unit, key]) => {
    const points = samples.map(({ sample, vms }) => ({ amount: sample[key], size: vms }));
    return { id, points, reproducible: false, unit, value: fitSlope(points) };
  });
}

async function measureControl(vms: number): Promise<Sample> {
  const platform = new PlatformStandIn({
    appendsPerSecond: 400,
    rebootMs: 500,
    retention: 1_000_000,
    secret: SECRET,
    seed: 1,
    vmListLagMs: 0,
  });
  fillLog(platform, vms);
  const port = await freePort();
  const server = await listen(platform.app, `127.0.0.1:${port}`);
  const proxy = new CountingProxy(port);
  const proxyPort = await proxy.listen();
  const control = startControl(await freePort(), proxyPort);
  await delay(SETTLE_MS);
  const sample = await sampleProcess(control.pid ?? 0, proxy);
  control.kill('SIGKILL');
  proxy.close();
  server.close();
  server.closeAllConnections();
  return sample;
}

async function sampleProcess(pid: number, proxy: CountingProxy): Promise<Sample> {
  const ticks = cpuTicks(pid);
  const bytes = proxy.bytes;
  await delay(WINDOW_MS);
  const seconds = WINDOW_MS / 1000;
  return {
    bytesPerSecond: (proxy.bytes - bytes) / seconds,
    coreShare: (cpuTicks(pid) - ticks) / TICKS_PER_SECOND / seconds,
    privateMb: memoryKb(pid, 'RssAnon') / 1024,
    residentMb: memoryKb(pid, 'VmRSS') / 1024,
  };
}

function fillLog(platform: PlatformStandIn, vms: number): void {
  const fleet = new FleetBuilder({ ...TARGET_SHAPE, vms });
  platform.stream('fleet').append(fleet.log);
  for (const vm of fleet.state.vms.values()) {
    platform.putVm({
      address: vm.address,
      connections: vm.connections,
      id: vm.id,
      rack: vm.rack,
      role: vm.role,
      slots: vm.slots,
      state: 'live',
      zone: vm.zone,
    });
  }
  for (let index = 0; index < TARGET_SHAPE.entries; index += 1) {
    platform.putVm({
      address: `10.1.0.${index}:7000`,
      connections: 1,
      id: `entry-vm-${index}`,
      rack: 'rack-e',
      role: 'entry',
      slots: 1,
      state: 'live',
      zone: 'zone-0',
    });
  }
}

function startControl(port: number, platformPort: number): ChildProcess {
  const directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-capacity-'));
  writeFileSync(join(directory, 'secret'), SECRET);
  const settings = {
    listen: `127.0.0.1:${port}`,
    name: 'control-000',
    platform: { addresses: [`http://127.0.0.1:${platformPort}`] },
    secretFile: join(directory, 'secret'),
    vm: 'entry-vm-0',
    zone: 'zone-0',
  };
  const file = join(directory, 'control.json');
  writeFileSync(file, JSON.stringify(settings));
  const binary = fileURLToPath(new URL('./sequoiaquay-control.mjs', import.meta.url));
  return spawn(binary, ['--config', file], { stdio: 'ignore' });
}

function cpuTicks(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return Number(fields[11]) + Number(fields[12]);
}

function memoryKb(pid: number, field: string): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0);
}

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      server.close(() => {
        resolve(port);
      });
    });
  });
}
