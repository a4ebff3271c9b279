import { describe, expect, it } from 'vitest';
import { NoForecast, RotationSimulation } from './support/rotation-simulation';

const PLAYED_MS = 120_000;

// Guards against a policy that holds work back at the start of each peak, or keeps more VMs on for it.
// Load: four pools whose demand peaks in turn at twice what the pool holds, and is a fortieth in between.
describe.each([5000, 8500, 12_000])('pools whose load peaks in turn, every %i ms', (turnMs) => {
  const fixed = new RotationSimulation(turnMs, false).run(PLAYED_MS);
  const following = new RotationSimulation(turnMs, true, new NoForecast()).run(PLAYED_MS);
  const expecting = new RotationSimulation(turnMs, true).run(PLAYED_MS);

  it('lets work wait less than with VMs that follow the load, and much less than with fixed pools', () => {
    console.log(`turns of ${turnMs} ms: ${JSON.stringify({ expecting, fixed, following })}`);
    expect(expecting.waitedCoreSeconds).toBeLessThan(following.waitedCoreSeconds);
    expect(expecting.waitedCoreSeconds).toBeLessThan(fixed.waitedCoreSeconds / 2);
  });

  it('keeps no more VMs on than without the forecast', () => {
    expect(expecting.vmSeconds).toBeLessThanOrEqual(following.vmSeconds);
  });
});
