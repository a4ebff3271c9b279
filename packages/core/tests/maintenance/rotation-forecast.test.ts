import { describe, expect, it } from 'vitest';
import { RotationForecast } from '../../src/jobs';

const POOLS = ['a', 'b', 'c', 'd'];
const SIZED = 8;
const STEP_MS = 100;
const TURN_MS = 5000;

/** Feeds loads that peak in turn; `skip` names turns in which no peak comes. */
function play(forecast: RotationForecast, fromMs: number, toMs: number, skip: readonly number[] = []): void {
  for (let now = fromMs; now < toMs; now += STEP_MS) {
    const turn = Math.floor(now / TURN_MS);
    for (const [index, pool] of POOLS.entries()) {
      const load = turn % POOLS.length === index && !skip.includes(turn) ? 10 : 0.5;
      forecast.addLoad(pool, load, SIZED, now);
    }
  }
}

// Guards against workers that arrive after a peak has begun, and against workers that are moved for a peak
// that nothing speaks for.
describe('TurnForecast', () => {
  it('expects nothing before two distances between peaks agree', () => {
    const forecast = new RotationForecast();
    play(forecast, 0, 9000);
    expect(forecast.nextPeak(POOLS, 9000)).toBeUndefined();
    expect(forecast.timeToPeakMs('a', POOLS, 9000)).toBe(0);
  });

  it('expects the only pool that has not had its turn, then the pool that followed before', () => {
    const forecast = new RotationForecast();
    play(forecast, 0, 12_000);
    expect(forecast.nextPeak(POOLS, 12_000)).toEqual({ at: 15_000, pool: 'd', workers: 8.5 });
    play(forecast, 12_000, 17_000);
    expect(forecast.nextPeak(POOLS, 17_000)).toMatchObject({ at: 20_000, pool: 'a' });
    play(forecast, 17_000, 27_000);
    expect(forecast.nextPeak(POOLS, 27_000)).toMatchObject({ at: 30_000, pool: 'c' });
  });

  it('tells how long a pool stays idle, and nothing for the pool whose peak is on', () => {
    const forecast = new RotationForecast();
    play(forecast, 0, 17_000);
    expect(POOLS.map((pool) => forecast.timeToPeakMs(pool, POOLS, 17_000))).toEqual([3000, 8000, 13_000, 0]);
  });

  it('gives a peak up that does not come, and goes on when the turns do', () => {
    const forecast = new RotationForecast();
    play(forecast, 0, 23_000, [4]);
    expect(forecast.nextPeak(POOLS, 23_000)).toBeUndefined();
    play(forecast, 23_000, 42_000, [4]);
    expect(forecast.nextPeak(POOLS, 42_000)).toMatchObject({ at: 45_000, pool: 'b' });
  });

  it('expects nothing while the distances differ', () => {
    const forecast = new RotationForecast();
    forecast.restore([
      { at: 0, pool: 'a' },
      { at: 5000, pool: 'b' },
      { at: 14_000, pool: 'c' },
    ]);
    expect(forecast.nextPeak(POOLS, 14_100)).toBeUndefined();
  });

  it('goes on with what an earlier leader has seen', () => {
    const earlier = new RotationForecast();
    play(earlier, 0, 21_000);
    const forecast = new RotationForecast();
    forecast.restore(earlier.onsets);
    expect(forecast.nextPeak(POOLS, 21_000)).toMatchObject({ at: 25_000, pool: 'b' });
  });

  it('takes a second rise right after the first peak of all for the same peak', () => {
    const forecast = new RotationForecast();
    expect(forecast.addLoad('a', 10, SIZED, 900)).toBe(true);
    forecast.addLoad('a', 0, SIZED, 1200);
    expect(forecast.addLoad('a', 10, SIZED, 2300)).toBe(false);
  });

  it('takes a second rise within a turn for the same peak', () => {
    const forecast = new RotationForecast();
    play(forecast, 0, 16_000);
    const onsets = forecast.onsets.length;
    forecast.addLoad('d', 0, SIZED, 16_000);
    expect(forecast.addLoad('d', 10, SIZED, 16_100)).toBe(false);
    expect(forecast.onsets.length).toBe(onsets);
  });
});
