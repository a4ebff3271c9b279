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
import { DESIGN_FLEET_SIZE, FleetBuilder } from './fleet-builder';
import { fitSlope } from './slope';

const VM_COUNTS = [10, 100, 670];
const SECRET = 'bench-secret';
/** Time between the start of a control process and the sample window. */
const SETTLE_TIME_MS = 15_000;
/** One rotation in which each control reads the platform's VM list once: one control reads it per second. */
const SAMPLE_WINDOW_MS = DESIGN_FLEET_SIZE.entries * 1000;
/** Clock ticks per second (USER_HZ) in which the kernel reports the CPU time of a process. */
const CLOCK_TICKS_PER_SECOND = 100;

/** Resource use of a process; rates are averaged over the sample window. */
interface ProcessSample {
  bytesPerSecond: number;
  coreShare: number;
  privateMb: number;
  residentMb: number;
}

/** Measures how memory, CPU and network use of a control process grow with the VMs of the fleet it follows. */
export async function processSlopes(): Promise<Slope[]> {
  const samples: { sample: ProcessSample; vms: number }[] = [];
  for (const vms of VM_COUNTS) {
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
    const measurements = samples.map(({ sample, vms }) => ({ size: vms, value: sample[key] }));
    return { id, isReproducible: false, measurements, perUnit: fitSlope(measurements), unit };
  });
}

async function measureControl(vms: number): Promise<ProcessSample> {
  const platform = new PlatformStandIn({
    appendsPerSecond: 400,
    rebootMs: 500,
    retentionRecords: 1_000_000,
    secret: SECRET,
    seed: 1,
    vmListLagMs: 0,
  });
  populatePlatform(platform, vms);
  const port = await findFreePort();
  const server = await listen(platform.app, `127.0.0.1:${port}`);
  const proxy = new CountingProxy(port);
  const proxyPort = await proxy.listen();
  const control = startControl(await findFreePort(), proxyPort);
  await delay(SETTLE_TIME_MS);
  const sample = await sampleProcess(control.pid ?? 0, proxy);
  control.kill('SIGKILL');
  proxy.close();
  server.close();
  server.closeAllConnections();
  return sample;
}

async function sampleProcess(pid: number, proxy: CountingProxy): Promise<ProcessSample> {
  const ticksBefore = readCpuTicks(pid);
  const bytesBefore = proxy.byteCount;
  await delay(SAMPLE_WINDOW_MS);
  const seconds = SAMPLE_WINDOW_MS / 1000;
  return {
    bytesPerSecond: (proxy.byteCount - bytesBefore) / seconds,
    coreShare: (readCpuTicks(pid) - ticksBefore) / CLOCK_TICKS_PER_SECOND / seconds,
    privateMb: readMemoryKb(pid, 'RssAnon') / 1024,
    residentMb: readMemoryKb(pid, 'VmRSS') / 1024,
  };
}

function populatePlatform(platform: PlatformStandIn, vms: number): void {
  const fleet = new FleetBuilder({ ...DESIGN_FLEET_SIZE, vms });
  platform.getOrCreateStream('fleet').append(fleet.acceptedRecords);
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
  for (let index = 0; index < DESIGN_FLEET_SIZE.entries; index += 1) {
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

function readCpuTicks(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return Number(fields[11]) + Number(fields[12]);
}

function readMemoryKb(pid: number, field: string): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0);
}

function findFreePort(): Promise<number> {
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
