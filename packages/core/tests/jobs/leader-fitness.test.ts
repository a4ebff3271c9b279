import { describe, expect, it } from 'vitest';
import { leaderFitness } from '../../src/jobs/leader-fitness';

const MACHINE = { cpuCores: 1, cpuShare: 0.8, linkMbps: 100, memoryMb: 400 };

// Guards against a leader on a machine of which one resource is short.
describe('leaderFitness', () => {
  it('is the same for equal machines and bounded by the scarcest resource', () => {
    const fitness = leaderFitness(MACHINE);
    expect(leaderFitness({ ...MACHINE })).toBe(fitness);
    expect(leaderFitness({ ...MACHINE, linkMbps: 5 })).toBeLessThan(fitness / 2);
    expect(leaderFitness({ ...MACHINE, cpuShare: 0.2 })).toBeLessThan(fitness / 2);
    expect(leaderFitness({ ...MACHINE, memoryMb: 20 })).toBeLessThan(fitness / 2);
    expect(leaderFitness({ ...MACHINE, linkMbps: 5, memoryMb: 4000 })).toBe(
      leaderFitness({ ...MACHINE, linkMbps: 5 }),
    );
  });

  it.each([
    ['cpuShare', { ...MACHINE, cpuShare: undefined }],
    ['linkMbps', { ...MACHINE, linkMbps: 0 }],
    ['memoryMb', { ...MACHINE, memoryMb: undefined }],
  ])('compares by the other resources if %s is not known', (_, machine) => {
    expect(leaderFitness(machine)).toBeGreaterThan(0);
    expect(leaderFitness(machine)).toBeGreaterThanOrEqual(leaderFitness(MACHINE));
  });

  it('is 0 for a machine of which nothing is known', () => {
    expect(leaderFitness({})).toBe(0);
    expect(leaderFitness({ cpuCores: 2 })).toBe(0);
    expect(leaderFitness({ cpuShare: 0, linkMbps: 0, memoryMb: 0 })).toBe(0);
  });
});
