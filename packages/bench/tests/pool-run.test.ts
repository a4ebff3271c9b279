import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import type { TraceShape } from '../src/arrival-trace';
import { isPeak, recordTrace } from '../src/arrival-trace';
import { leastInFlight, staticShare } from '../src/baseline-policies';
import { EventHeap } from '../src/event-heap';
import { oneOwner } from '../src/owner-policy';
import { PoolRun } from '../src/pool-run';

const SHAPE: TraceShape = {
  durationMs: 80_000,
  entries: 4,
  jobs: 'fixed',
  meanPerSecond: 100,
  seed: 7,
};
const POOL = { entries: 4, slots: 8, targets: 4 };

describe('recorded trace', () => {
  it('is the same for the same seed and has its mean and its peaks', () => {
    const trace = recordTrace(SHAPE);
    expect(recordTrace(SHAPE)).toEqual(trace);
    expect(recordTrace({ ...SHAPE, seed: 8 })).not.toEqual(trace);
    expect(trace.length / 80).toBeCloseTo(100, -1);
    const inPeaks = trace.filter((arrival) => isPeak(arrival.at)).length;
    expect(inPeaks / 12 / 500).toBeCloseTo(1, 1);
  });
});

describe('pool run', () => {
  // Guards against a model that loses requests, which would make every policy look better.
  it.each([
    ['least in flight', leastInFlight],
    ['static share', staticShare],
    ['one owner', oneOwner({ classes: 'learnt', keptShortSlots: 4, name: 'one owner' })],
  ])('accounts for every request: %s', (_, factory) => {
    const trace = recordTrace(SHAPE);
    const result = new PoolRun(POOL, factory, 1, new SystemTimerService()).run(trace);
    const started = result.shortWaits.totalCount + result.longWaits.totalCount;
    expect(started + result.early + result.late).toBe(trace.length);
    expect(result.peakGoodput).toBeLessThanOrEqual(1);
  });
});

describe('event heap', () => {
  it('gives items in order of time', () => {
    const heap = new EventHeap<number>();
    const times = [5, 1, 4, 1, 9, 2, 6, 8, 3, 7];
    for (const at of times) {
      heap.push(at, at);
    }
    expect(times.map(() => heap.pop())).toEqual(times.toSorted((a, b) => a - b));
    expect(heap.nextAt).toBe(Infinity);
  });
});
