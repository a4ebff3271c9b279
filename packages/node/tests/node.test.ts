import type { FleetConfig } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { err, errAsync, ok } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallerAnswer } from '../src/caller-answer';
import type { FleetCodec } from '../src/ports/fleet-codec';
import type { WorkerLink } from '../src/ports/worker-link';
import { accessConfig, workspace } from '../../core/tests/jobs/support/access-config';
import { Node } from '../src/node';
import { NodeMetrics } from '../src/node-metrics';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { CODEC, SETTINGS } from './support/sample-node';

/** Time within which a stored configuration must be in force, in ms. */
const MAX_CONFIG_DELAY_MS = 2000;

const NO_ANSWER = { kind: 'silent', message: 'no answer' } as const;

const NO_WORKERS: WorkerLink = {
  disconnect: () => undefined,
  throttle: () => errAsync(NO_ANSWER),
  report: () => errAsync(NO_ANSWER),
  start: () => Promise.resolve({ answer: 'silent', clockMs: undefined }),
  stop: () => errAsync(NO_ANSWER),
};

function configOf(version: number): FleetConfig {
  const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 };
  return { limits, pools: [], queues: [], version };
}

/** Codec for operator records whose value is the version of a configuration; other values are unreadable. */
const VERSION_CODEC: FleetCodec = {
  ...CODEC,
  decodeOperatorRecord: (_key, value) =>
    /^\d+$/.test(value) ? ok({ cfg: configOf(Number(value)), kind: 'config' }) : err('unreadable'),
};

let node: Node | undefined;

afterEach(() => {
  node?.close();
});

function startNode(operators: MemoryStream, codec = VERSION_CODEC): Node {
  const ports = {
    advice: undefined,
    codec,
    jobs: new MemoryStream(),
    link: NO_WORKERS,
    operators,
    registry: new MemoryStream(),
    runs: new MemoryStream(),
    status: new MemoryStream(),
    vms: undefined,
  };
  const started = new Node(SETTINGS, ports, new SystemTimerService(), quietLog, new NodeMetrics());
  void started.run(new AbortController().signal);
  node = started;
  return started;
}

function storeRecord(operators: MemoryStream, value: string): void {
  operators.records.push({ key: 'config', offset: operators.records.length, value });
}

// Guards against a node that applies an outdated configuration, or reverts to one.
describe('Node', () => {
  it('is not ready without a configuration, and applies each newer version', async () => {
    const operators = new MemoryStream();
    const started = startNode(operators);
    await delay(100);
    expect(started.isReady).toBe(false);
    for (const version of [3, 9, 10]) {
      storeRecord(operators, String(version));
      await expect.poll(() => started.callers.cfg?.version, { timeout: MAX_CONFIG_DELAY_MS }).toBe(version);
    }
    await expect.poll(() => started.isReady).toBe(true);
  });

  it('ignores older versions and unreadable records', async () => {
    const operators = new MemoryStream();
    const started = startNode(operators);
    storeRecord(operators, '9');
    await expect.poll(() => started.callers.cfg?.version).toBe(9);
    storeRecord(operators, '4');
    storeRecord(operators, 'not a version');
    await delay(300);
    expect(started.callers.cfg?.version).toBe(9);
    storeRecord(operators, '11');
    await expect.poll(() => started.callers.cfg?.version, { timeout: MAX_CONFIG_DELAY_MS }).toBe(11);
  });

  it('applies the newest version after unread records were dropped from the stream', async () => {
    const operators = new MemoryStream();
    const started = startNode(operators);
    storeRecord(operators, '2');
    await expect.poll(() => started.callers.cfg?.version).toBe(2);
    storeRecord(operators, '5');
    operators.first = operators.records.length;
    await expect.poll(() => started.callers.cfg?.version, { timeout: MAX_CONFIG_DELAY_MS }).toBe(5);
  });

  // Guards against a node that calls a key unknown although it has not read the configuration that has it.
  it('answers that its configuration is not current once it has not read the operators for 2.5 s', async () => {
    const operators = new MemoryStream();
    const started = startNode(operators, {
      ...VERSION_CODEC,
      decodeOperatorRecord: (_key, value) =>
        ok({ cfg: { ...accessConfig([workspace('voyages', value)]), version: 1 }, kind: 'config' }),
    });
    storeRecord(operators, 'secret');
    await expect.poll(() => started.callers.cfg?.version).toBe(1);
    const show = (apiKey: string): Promise<CallerAnswer> =>
      started.callers.show({ apiKey, host: 'h', path: '/quick/', timeoutMs: 600 });
    expect(await show('new')).toEqual({ kind: 'unauthorized' });
    operators.read = () => errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    await expect
      .poll(() => show('new'), { timeout: 10_000 })
      .toMatchObject({ kind: 'not-run', reason: 'configuration-not-current', retryAfterS: 2 });
    expect(await show('secret')).toEqual({ count: 0, kind: 'waiting' });
  });

  it('hands leadership over to a node whose settings state a much wider link, and does not get it back', async () => {
    const shared = { jobs: new MemoryStream(), runs: new MemoryStream() };
    const stop = new AbortController();
    const startCandidate = (name: string, linkMbps: number): (() => number | undefined) => {
      const others = {
        operators: new MemoryStream(),
        registry: new MemoryStream(),
        status: new MemoryStream(),
      };
      const ports = {
        advice: undefined,
        codec: CODEC,
        link: NO_WORKERS,
        vms: undefined,
        ...shared,
        ...others,
      };
      const settings = { ...SETTINGS, linkMbps, name };
      const started = new Node(settings, ports, new SystemTimerService(), quietLog, new NodeMetrics());
      void started.run(stop.signal);
      stop.signal.addEventListener('abort', () => {
        started.close();
      });
      return started.gauges(() => 0).ownEpoch;
    };
    const narrow = startCandidate('narrow', 7);
    await expect.poll(narrow, { timeout: 5000 }).toBe(1);
    const wide = startCandidate('wide', 140);
    await expect.poll(wide, { timeout: 10_000 }).toBe(2);
    await delay(1000);
    expect(narrow()).toBeUndefined();
    stop.abort();
  }, 20_000);
});
