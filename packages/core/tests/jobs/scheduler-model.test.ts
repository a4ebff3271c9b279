import { describe, expect, it } from 'vitest';
import type { Faults } from './support/virtual-world';
import { VirtualWorld } from './support/virtual-world';

const NONE: Faults = { cut: 0, late: 0, leader: 0, lost: 0, restart: 0 };

const SEEDS = 150;

const DISTURBED_MS = 8000;

/** Time in which everything must be done once the faults have stopped, in ms. */
const CALM_MS = 20_000;

const cases: [name: string, faults: Faults][] = [
  ['no faults', NONE],
  ['lost answers', { ...NONE, lost: 0.2 }],
  ['orders carried out late', { ...NONE, late: 0.2 }],
  ['workers cut off', { ...NONE, cut: 0.02 }],
  ['changes of the leader', { ...NONE, leader: 0.01 }],
  ['all but restarts', { cut: 0.01, late: 0.1, leader: 0.01, lost: 0.1, restart: 0 }],
];

describe('scheduler in a world of faults', () => {
  it.each(cases)('never runs a task twice or too early, and completes all jobs: %s', (_, faults) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new VirtualWorld(seed, faults);
      world.run(DISTURBED_MS, false);
      world.run(CALM_MS, true);
      expect(world.violations, `seed ${seed}`).toEqual([]);
      expect([...world.ended.values()], `seed ${seed}`).toEqual(Array(5).fill('completed'));
    }
  });

  it('never runs a task on two workers at once, also when workers restart', () => {
    // An order that is carried out late, in a new life of its worker that nobody has reached yet, can't
    // be made void; docs/platform-design.md lists that as open.
    const faults = { cut: 0.01, late: 0, leader: 0.01, lost: 0.05, restart: 0.02 };
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new VirtualWorld(seed, faults);
      world.run(DISTURBED_MS, false);
      world.run(CALM_MS, true);
      const twice = world.violations.filter((text) => text.includes('while it runs'));
      expect(twice, `seed ${seed}`).toEqual([]);
      expect(world.ended.size, `seed ${seed}`).toBe(5);
    }
  });
});
