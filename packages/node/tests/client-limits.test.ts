import { estimateSubmissionBytes } from '@sequoiaquay/core/jobs';
import { describe, expect, it } from 'vitest';
import type { NodeSettings } from '../src';
import { step } from '../../core/tests/jobs/support/jobs';
import { callerLimits, nodeSettingsSchema, peerLimits, requestBounds, submissionBytes } from '../src';
import { SubmissionBudget } from '../src/submission-budget';

const SETTINGS = {
  availabilityZone: 'z',
  bounds: { gracePeriodS: 5, leaseDurationMs: 4000, maxLeaseMs: 5000, stateKeptS: 600 },
  callerAddress: '127.0.0.1:1',
  metricsAddress: '127.0.0.1:2',
  name: 'n',
  readinessAddress: '127.0.0.1:3',
  storeAddress: '127.0.0.1:4',
};

function parse(more: object): NodeSettings {
  return nodeSettingsSchema.parse({ ...SETTINGS, ...more });
}

// Guards against limits that ordinary callers reach, or that let clients take more than the machine has.
describe('callerLimits', () => {
  it.each<[more: object, connections: number, heldBytes: number]>([
    [{}, 1000, 20_000_000],
    [{ fileDescriptors: 0, memoryMb: 0 }, 1000, 20_000_000],
    [{ fileDescriptors: 4100, memoryMb: 250 }, 1000, 20_000_000],
    [{ fileDescriptors: 4100, memoryMb: 602 }, 1950, 48_160_000],
    [{ fileDescriptors: 1000, memoryMb: 250 }, 400, 20_000_000],
    [{ fileDescriptors: 100, memoryMb: 250 }, 1, 20_000_000],
    [{ callerLimits: { connections: 7, heldBytes: 9 } }, 7, 9],
  ])('derives connections and held bytes from %j', (more, connections, heldBytes) => {
    expect(callerLimits(parse(more))).toMatchObject({ connections, heldBytes });
  });

  it.each([{ connections: 0 }, { heldBytes: -1 }, { pipelinedRequests: 1.5 }, { bodyMs: 'long' }])(
    'rejects %j',
    (limits) => {
      expect(nodeSettingsSchema.safeParse({ ...SETTINGS, callerLimits: limits }).success).toBe(false);
    },
  );
});

// Guards against jobs in progress that outgrow the machine, or leave ordinary ones on all connections no room.
describe('submissionBytes', () => {
  it.each<[more: object, bytes: number]>([
    [{}, 18_000_000],
    [{ memoryMb: 350 }, 25_200_000],
    [{ callerLimits: { submissionBytes: 5 } }, 5],
  ])('follows from %j', (more, bytes) => {
    expect(submissionBytes(parse(more))).toBe(bytes);
  });

  it.each([250, 350, 1000])(
    'has room for an ordinary job on each connection of a machine of %d MB',
    (memoryMb) => {
      const settings = parse({ fileDescriptors: 100_000, memoryMb });
      const demand = { cpuMilli: 500, gpus: 0, memoryMb: 256 };
      const spec = { body: 'x'.repeat(4000), steps: [step({ demand })] };
      const bytes = callerLimits(settings).connections * estimateSubmissionBytes(spec);
      expect(submissionBytes(settings)).toBeGreaterThanOrEqual(bytes);
    },
  );
});

// Guards against a refusal of large requests inside the limits, which come at the same time in calm.
it('has room for the jobs of sixteen bodies of the largest size on the smallest machine', () => {
  const budget = new SubmissionBudget(submissionBytes(parse({ memoryMb: 250 })));
  const spec = { body: 'x'.repeat(262_000), steps: [step()] };
  const taken = Array.from({ length: 16 }, () => budget.take(estimateSubmissionBytes(spec)));
  expect(taken).toEqual(Array(16).fill(true));
});

// Guards against an address for other nodes that takes the descriptors of callers and of the store.
describe('peerLimits', () => {
  it.each<[more: object, connections: number]>([
    [{ fileDescriptors: 1000 }, 200],
    [{ fileDescriptors: 4100 }, 512],
    [{ fileDescriptors: 100 }, 1],
    [{}, 512],
  ])('bounds the connections by %j', (more, connections) => {
    expect(peerLimits(parse(more)).connections).toBe(connections);
  });
});

// Guards against unbounded bodies before there is a configuration.
describe('requestBounds', () => {
  it('bounds requests without a configuration, and by the configuration once there is one', () => {
    expect(requestBounds(undefined)).toEqual({
      bodyBytes: 262_144,
      headerBytes: 16_384,
      headerMs: 3000,
      idleMs: 15_000,
    });
    const limits = { headerTimeoutMs: 1, idleTimeoutMs: 2, maxBodyBytes: 3, maxHeaderBytes: 4 };
    expect(requestBounds(limits)).toEqual({ bodyBytes: 3, headerBytes: 4, headerMs: 1, idleMs: 2 });
  });
});
