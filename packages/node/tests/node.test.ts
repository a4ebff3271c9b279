import type { FleetConfig } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { err, errAsync, ok } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { FleetCodec } from '../src/ports/fleet-feed';
import type { WorkerLink } from '../src/ports/worker-link';
import { Node } from '../src/node';
import { NodeMetrics } from '../src/node-metrics';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { CODEC, SETTINGS } from './support/sample-node';

/** Time in which a stored configuration must be in force, in ms. */
const IN_FORCE_MS = 2000;

const SILENT = { kind: 'silent', message: 'no answer' } as const;

const NO_WORKERS: WorkerLink = {
  forget: () => undefined,
  pace: () => errAsync(SILENT),
  report: () => errAsync(SILENT),
  start: () => Promise.resolve('silent'),
  stop: () => errAsync(SILENT),
};

function configOf(version: number): FleetConfig {
  const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 };
  return { limits, pools: [], queues: [], version };
}

// A record of an operator is the version of a configuration, or unreadable.
const VERSION_CODEC: FleetCodec = {
  ...CODEC,
  operator: (_key, value) =>
    /^\d+$/.test(value) ? ok({ cfg: configOf(Number(value)), kind: 'config' }) : err('unreadable'),
};

let node: Node | undefined;

afterEach(() => {
  node?.close();
});

function start(operators: MemoryStream): Node {
  const ports = {
    advice: undefined,
    codec: VERSION_CODEC,
    jobs: new MemoryStream(),
    link: NO_WORKERS,
    operators,
    registry: new MemoryStream(),
    runs: new MemoryStream(),
    status: new MemoryStream(),
    vms: undefined,
  };
  const made = new Node(SETTINGS, ports, new SystemTimerService(), quietLog, new NodeMetrics());
  void made.run(new AbortController().signal);
  node = made;
  return made;
}

function store(operators: MemoryStream, value: string): void {
  operators.records.push({ key: 'config', offset: operators.records.length, value });
}

// Guards against a node that serves by an old configuration, or goes back to one.
describe('Node', () => {
  it('is not ready without a configuration, and follows each newer version', async () => {
    const operators = new MemoryStream();
    const made = start(operators);
    await delay(100);
    expect(made.ready).toBe(false);
    for (const version of [3, 9, 10]) {
      store(operators, String(version));
      await expect.poll(() => made.callers.cfg?.version, { timeout: IN_FORCE_MS }).toBe(version);
    }
    await expect.poll(() => made.ready).toBe(true);
  });

  it('never goes back to an older version, and keeps the last one over an unreadable record', async () => {
    const operators = new MemoryStream();
    const made = start(operators);
    store(operators, '9');
    await expect.poll(() => made.callers.cfg?.version).toBe(9);
    store(operators, '4');
    store(operators, 'not a version');
    await delay(300);
    expect(made.callers.cfg?.version).toBe(9);
    store(operators, '11');
    await expect.poll(() => made.callers.cfg?.version, { timeout: IN_FORCE_MS }).toBe(11);
  });

  it('follows the newest version after history that it had not read was dropped', async () => {
    const operators = new MemoryStream();
    const made = start(operators);
    store(operators, '2');
    await expect.poll(() => made.callers.cfg?.version).toBe(2);
    store(operators, '5');
    operators.first = operators.records.length;
    await expect.poll(() => made.callers.cfg?.version, { timeout: IN_FORCE_MS }).toBe(5);
  });
});
