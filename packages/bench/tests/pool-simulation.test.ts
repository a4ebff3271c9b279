import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import type { TraceOptions } from '../src/arrival-trace';
import { generateTrace, isPeak } from '../src/arrival-trace';
import { leastInFlight, staticShare } from '../src/baseline-policies';
import { EventHeap } from '../src/event-heap';
import { singleOwner } from '../src/owner-policy';
import { PoolSimulation } from '../src/pool-simulation';

const TRACE_OPTIONS: TraceOptions = {
  durationMs: 80_000,
  entries: 4,
  jobNaming: 'fixed',
  meanPerSecond: 100,
  seed: 7,
};
const POOL = { entries: 4, slots: 8, targets: 4 };

describe('generateTrace', () => {
  it('repeats the trace for the same seed and follows the configured mean and peaks', () => {
    const trace = generateTrace(TRACE_OPTIONS);
    expect(generateTrace(TRACE_OPTIONS)).toEqual(trace);
    expect(generateTrace({ ...TRACE_OPTIONS, seed: 8 })).not.toEqual(trace);
    expect(trace.length / 80).toBeCloseTo(100, -1);
    const inPeaks = trace.filter((arrival) => isPeak(arrival.arrivedAt)).length;
    expect(inPeaks / 12 / 500).toBeCloseTo(1, 1);
  });
});

describe('PoolSimulation', () => {
  // Guards against a simulation that loses requests, which would improve the results of every policy.
  it.each([
    ['least in flight', leastInFlight],
    ['static share', staticShare],
    ['one owner', singleOwner({ classifierKind: 'learnt', reservedShortSlots: 4, name: 'one owner' })],
  ])('accounts for every request: %s', (_, factory) => {
    const trace = generateTrace(TRACE_OPTIONS);
    const result = new PoolSimulation(POOL, factory, 1, new SystemTimerService()).run(trace);
    const started = result.shortWaits.totalCount + result.longWaits.totalCount;
    expect(started + result.early + result.late).toBe(trace.length);
    expect(result.peakGoodput).toBeLessThanOrEqual(1);
  });
});

describe('EventHeap', () => {
  it('returns items in order of time', () => {
    const heap = new EventHeap<number>();
    const times = [5, 1, 4, 1, 9, 2, 6, 8, 3, 7];
    for (const at of times) {
      heap.push(at, at);
    }
    expect(times.map(() => heap.pop())).toEqual(times.toSorted((a, b) => a - b));
    expect(heap.nextAt).toBe(Infinity);
  });
});
