import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Cut } from './support/crashing-fleet';
import { CrashingFleet } from './support/crashing-fleet';
import { job, step } from './support/jobs';

/** Number of scenarios; more by hand with `CUT_SCENARIOS`, and another seed with `CUT_SEED`. */
const SCENARIOS = Number(process.env.CUT_SCENARIOS ?? 60);
const SEED = Number(process.env.CUT_SEED ?? 71);

/** Most starts of a task that crashes its workers: three more after the third crash would be one too many. */
const MAX_STARTS = 5;

const ROUND_MS = 250;
const ROUNDS = 100;

/** Time in which all jobs must end once there are no more faults, in ms. */
const CALM_MS = 90_000;

interface Scenario {
  crashing: number;
  cuts: { cut: Cut; positions: number[]; round: number }[];
  leaderChanges: number[];
  zones: string[];
}

const cutArbitrary: fc.Arbitrary<Cut> = fc.record({
  forMs: fc.integer({ max: 14_000, min: 300 }),
  losesAnswersOnly: fc.boolean(),
  takesRegistry: fc.boolean(),
});

const roundArbitrary = fc.integer({ max: ROUNDS - 1, min: 0 });

const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  crashing: fc.integer({ max: 3, min: 0 }),
  cuts: fc.array(
    fc.record({
      cut: cutArbitrary,
      positions: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7], { maxLength: 5, minLength: 2 }),
      round: roundArbitrary,
    }),
    { maxLength: 10 },
  ),
  leaderChanges: fc.array(roundArbitrary, { maxLength: 8 }),
  zones: fc.array(fc.constantFrom('z1', 'z2', 'z3'), { maxLength: 10, minLength: 6 }),
});

function play({ crashing, cuts, leaderChanges, zones }: Scenario): CrashingFleet {
  const names = Array.from({ length: crashing }, (_, index) => `crashing${index}`);
  const fleet = new CrashingFleet([], new Set(names.map((name) => `${name}.0.0.0`)), zones);
  fleet.run(500);
  names.forEach((name) => {
    fleet.submit(job(name, [step()]));
  });
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const { cut, positions } of cuts.filter((item) => item.round === round)) {
      positions.forEach((position) => {
        fleet.cutOff(position, cut);
      });
    }
    if (leaderChanges.includes(round)) {
      fleet.changeLeader();
    }
    fleet.submit(job(`sound${round}`, [step()]));
    fleet.run(ROUND_MS);
  }
  fleet.run(CALM_MS);
  return fleet;
}

describe('cuts of workers, tasks that crash them and changes of the leader', () => {
  it(`fail no sound job, start none without limit and run none twice (seed ${SEED}, ${SCENARIOS} scenarios)`, () => {
    fc.assert(
      fc.property(scenarioArbitrary, (scenario) => {
        const fleet = play(scenario);
        const failed = [...fleet.ended].filter(([, state]) => state === 'failed').map(([id]) => id);
        expect(failed.filter((id) => id.startsWith('sound'))).toEqual([]);
        expect(fleet.ended.size).toBe(ROUNDS + scenario.crashing);
        const starts = [...fleet.starts].filter(([task]) => task.startsWith('crashing'));
        expect(starts.filter(([, count]) => count > MAX_STARTS)).toEqual([]);
        expect(fleet.violations).toEqual([]);
      }),
      { numRuns: SCENARIOS, seed: SEED },
    );
  });
});
