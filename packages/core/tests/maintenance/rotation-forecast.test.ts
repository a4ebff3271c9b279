import { describe, expect, it } from 'vitest';
import { RotationForecast } from '../../src/jobs';

const POOLS = ['a', 'b', 'c', 'd'];
const POOL_SIZE = 8;
const STEP_MS = 100;
const INTERVAL_MS = 5000;

/** Adds loads that peak in rotation, one peak per interval; `skipped` lists the intervals without a peak. */
function addLoads(
  forecast: RotationForecast,
  fromMs: number,
  toMs: number,
  skipped: readonly number[] = [],
): void {
  for (let now = fromMs; now < toMs; now += STEP_MS) {
    const interval = Math.floor(now / INTERVAL_MS);
    for (const [index, pool] of POOLS.entries()) {
      const load = interval % POOLS.length === index && !skipped.includes(interval) ? 10 : 0.5;
      forecast.addLoad(pool, load, POOL_SIZE, now);
    }
  }
}

// Guards against workers that arrive after a peak has begun, and against workers that are moved for a peak
// without evidence for it.
describe('TurnForecast', () => {
  it('predicts nothing before two intervals between peaks agree', () => {
    const forecast = new RotationForecast();
    addLoads(forecast, 0, 9000);
    expect(forecast.nextPeak(POOLS, 9000)).toBeUndefined();
    expect(forecast.timeToPeakMs('a', POOLS, 9000)).toBe(0);
  });

  it("predicts the only pool that hasn't peaked yet, then the successor in the previous rotation", () => {
    const forecast = new RotationForecast();
    addLoads(forecast, 0, 12_000);
    expect(forecast.nextPeak(POOLS, 12_000)).toEqual({ at: 15_000, pool: 'd', workers: 8.5 });
    addLoads(forecast, 12_000, 17_000);
    expect(forecast.nextPeak(POOLS, 17_000)).toMatchObject({ at: 20_000, pool: 'a' });
    addLoads(forecast, 17_000, 27_000);
    expect(forecast.nextPeak(POOLS, 27_000)).toMatchObject({ at: 30_000, pool: 'c' });
  });

  it('returns the time to the next peak of each pool, and 0 for the pool whose peak is active', () => {
    const forecast = new RotationForecast();
    addLoads(forecast, 0, 17_000);
    expect(POOLS.map((pool) => forecast.timeToPeakMs(pool, POOLS, 17_000))).toEqual([3000, 8000, 13_000, 0]);
  });

  it('stops predicting after a missed peak, and resumes when the rotation does', () => {
    const forecast = new RotationForecast();
    addLoads(forecast, 0, 23_000, [4]);
    expect(forecast.nextPeak(POOLS, 23_000)).toBeUndefined();
    addLoads(forecast, 23_000, 42_000, [4]);
    expect(forecast.nextPeak(POOLS, 42_000)).toMatchObject({ at: 45_000, pool: 'b' });
  });

  it('predicts nothing while the intervals differ', () => {
    const forecast = new RotationForecast();
    forecast.restore([
      { at: 0, pool: 'a' },
      { at: 5000, pool: 'b' },
      { at: 14_000, pool: 'c' },
    ]);
    expect(forecast.nextPeak(POOLS, 14_100)).toBeUndefined();
  });

  it('continues with the onsets that an earlier leader stored', () => {
    const earlier = new RotationForecast();
    addLoads(earlier, 0, 21_000);
    const forecast = new RotationForecast();
    forecast.restore(earlier.onsets);
    expect(forecast.nextPeak(POOLS, 21_000)).toMatchObject({ at: 25_000, pool: 'b' });
  });

  it('treats a second rise shortly after the very first onset as the same peak', () => {
    const forecast = new RotationForecast();
    expect(forecast.addLoad('a', 10, POOL_SIZE, 900)).toBe(true);
    forecast.addLoad('a', 0, POOL_SIZE, 1200);
    expect(forecast.addLoad('a', 10, POOL_SIZE, 2300)).toBe(false);
  });

  it('treats a second rise within one interval as the same peak', () => {
    const forecast = new RotationForecast();
    addLoads(forecast, 0, 16_000);
    const onsets = forecast.onsets.length;
    forecast.addLoad('d', 0, POOL_SIZE, 16_000);
    expect(forecast.addLoad('d', 10, POOL_SIZE, 16_100)).toBe(false);
    expect(forecast.onsets.length).toBe(onsets);
  });
});
