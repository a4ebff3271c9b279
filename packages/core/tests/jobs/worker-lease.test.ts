import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { longestLeaseMs, Worker } from '../../src/jobs/worker';
import { worker as workerInfo } from './support/jobs';

const LEASE_MS = 4200;
const READ_AT = 1000;
const READING_MS = 500_000;

/** Rate of the slowest clock, as a fraction of real time. */
const SLOWEST_RATE = 0.98;

function knownWorker(): Worker {
  const known = new Worker(workerInfo('a'), 0);
  known.updateClock(READING_MS, READ_AT, READ_AT);
  return known;
}

/** Returns the monotonic time at which a clock of the given rate reaches a deadline, in ms. */
function timeOf(deadline: number, clockRate: number): number {
  return READ_AT + (deadline - READING_MS) / clockRate;
}

// Guards against a run that a later leader starts again while the lease by an old reading of a slow clock goes on.
describe('Worker.extendLease', () => {
  it('grants no lease that is longer than a later leader waits, whatever the age of the reading', () => {
    const ages = fc.double({ max: 3_600_000, min: 0, noNaN: true });
    const rates = fc.double({ max: 1, min: SLOWEST_RATE, noNaN: true });
    fc.assert(
      fc.property(ages, rates, (ageMs, clockRate) => {
        const known = knownWorker();
        const now = READ_AT + ageMs;
        const deadline = known.extendLease(now, LEASE_MS) ?? Infinity;
        expect(timeOf(deadline, clockRate)).toBeLessThanOrEqual(now + longestLeaseMs(LEASE_MS));
        expect(known.leaseEndsAt).toBeGreaterThanOrEqual(timeOf(deadline, clockRate));
      }),
    );
  });

  it('grants nearly a whole lease by a recent reading, however fast the clock is', () => {
    const known = knownWorker();
    for (let ageMs = 0; known.isClockRecent(READ_AT + ageMs); ageMs += 100) {
      const now = READ_AT + ageMs;
      const deadline = known.extendLease(now, LEASE_MS) ?? 0;
      expect(timeOf(deadline, 1) - now).toBeGreaterThan(0.95 * LEASE_MS);
    }
    expect(known.isClockRecent(READ_AT + 5000)).toBe(true);
    expect(known.isClockRecent(READ_AT + 60_000)).toBe(false);
  });
});
