import { describe, expect, it } from 'vitest';
import type { Faults } from './support/injected-faults';
import { NO_FAULTS as NONE } from './support/injected-faults';
import { SimulatedCluster } from './support/simulated-cluster';

const SEEDS = 150;

const FAULT_PHASE_MS = 8000;

/** Time within which all jobs must complete after the last fault, in ms. */
const RECOVERY_MS = 20_000;

/** Time in which a worker gets no orders after an acknowledgement without an answer, in ms. */
const LATE_CALLS_MS = 15_000;

const cases: [name: string, faults: Faults][] = [
  ['no faults', NONE],
  ['lost answers', { ...NONE, lostAnswer: 0.2 }],
  ['delayed orders', { ...NONE, delayedOrder: 0.2 }],
  ['partitioned workers', { ...NONE, partition: 0.02 }],
  ['leader changes', { ...NONE, leaderChange: 0.01 }],
  ['leader crashes', { ...NONE, leaderCrash: 0.01 }],
  [
    'late reports of workers whose registry entries are lost',
    { ...NONE, lateReport: 0.3, registryLoss: 0.02 },
  ],
  [
    'late reports of partitioned workers whose registry entries are lost',
    { ...NONE, lateReport: 0.3, partition: 0.01, registryLoss: 0.02 },
  ],
  [
    'all faults except restarts',
    { ...NONE, partition: 0.01, delayedOrder: 0.1, leaderChange: 0.01, lostAnswer: 0.1 },
  ],
  [
    'all faults except restarts, with lost registry entries',
    {
      ...NONE,
      delayedOrder: 0.1,
      lateReport: 0.2,
      leaderChange: 0.01,
      lostAnswer: 0.1,
      partition: 0.01,
      registryLoss: 0.01,
    },
  ],
];

const UNNOTICED_RESTARTS: Faults = { ...NONE, lateEntry: 0.8, restart: 0.03 };

describe('scheduler in a cluster with injected faults', () => {
  it.each(cases)('runs no task twice or before its dependencies, and completes all jobs: %s', (_, faults) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      expect(cluster.violations, `seed ${seed}`).toEqual([]);
      expect([...cluster.ended.values()], `seed ${seed}`).toEqual(Array(5).fill('completed'));
    }
  });

  it('gives up no job before a task has failed as often as its queue allows, when leaders crash while the store is slow', () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, { ...NONE, leaderCrash: 0.02, slowStore: 0.05 }, 2);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      expect(cluster.violations, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  it.each<[name: string, faults: Faults]>([
    ['most workers fail most runs', { ...NONE, failingWorker: 0.3 }],
    ['workers fail most runs and leaders change', { ...NONE, failingWorker: 0.02, leaderChange: 0.01 }],
    [
      'workers fail most runs and leaders crash while the store is slow',
      { ...NONE, failingWorker: 0.02, leaderCrash: 0.02, slowStore: 0.05 },
    ],
    [
      'workers fail most runs, are silent and come back, and leaders crash',
      { ...NONE, failingWorker: 0.01, leaderCrash: 0.01, silence: 0.01 },
    ],
    [
      'workers fail most runs and restart, some with a clock behind, and leaders change',
      { ...NONE, failingWorker: 0.01, leaderChange: 0.01, restart: 0.01, restartWithClockBehind: 0.01 },
    ],
    [
      'workers restart with a clock behind, and reports and registry entries come late',
      { ...NONE, lateReport: 0.2, registryLoss: 0.01, restartWithClockBehind: 0.02 },
    ],
    [
      'workers restart with a clock behind, are silent, and leaders crash while the store is slow',
      { ...NONE, leaderCrash: 0.01, restartWithClockBehind: 0.02, silence: 0.01, slowStore: 0.02 },
    ],
  ])(
    'ends all jobs, gives up none early and leaves no task waiting, with four runs each: %s',
    (_, faults) => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const cluster = new SimulatedCluster(seed, faults, 4);
        cluster.run(FAULT_PHASE_MS, false);
        cluster.run(RECOVERY_MS, true);
        expect(cluster.violations, `seed ${seed}`).toEqual([]);
        expect(cluster.ended.size, `seed ${seed}`).toBe(5);
      }
    },
  );

  it.each<[name: string, faults: Faults]>([
    ['answers are lost', { ...NONE, lostAnswer: 0.2 }],
    ['leaders crash and workers are partitioned', { ...NONE, leaderCrash: 0.02, partition: 0.02 }],
    [
      'workers restart, are silent and fail runs while leaders crash',
      { ...NONE, failingWorker: 0.01, leaderCrash: 0.01, restart: 0.01, silence: 0.01, slowStore: 0.02 },
    ],
  ])('ends all jobs with gangs and leaves none waiting: %s', (_, faults) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults, 50, true);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      expect(cluster.violations, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  // Guards against runs that are not counted: orders without an answer, late orders, those of an earlier leader.
  it.each<[name: string, faults: Faults, hasGangs: boolean]>([
    ['no faults', NONE, false],
    ['orders are late and answers are lost', { ...NONE, delayedOrder: 0.2, lostAnswer: 0.2 }, false],
    ['leaders change and orders are late', { ...NONE, delayedOrder: 0.2, leaderChange: 0.02 }, false],
    [
      'leaders crash while the store is slow, and workers are partitioned',
      { ...NONE, delayedOrder: 0.1, leaderCrash: 0.02, partition: 0.02, slowStore: 0.05 },
      false,
    ],
    [
      'reports are late, registry entries are lost, and leaders change',
      { ...NONE, lateReport: 0.3, leaderChange: 0.01, lostAnswer: 0.1, registryLoss: 0.02, silence: 0.01 },
      false,
    ],
    ['workers restart and leaders change', { ...NONE, leaderChange: 0.01, restart: 0.02 }, false],
    [
      'gangs, orders are late and leaders change',
      { ...NONE, delayedOrder: 0.1, leaderChange: 0.01, lostAnswer: 0.1, partition: 0.01 },
      true,
    ],
  ])('runs no more for a workspace than its maximum, which falls and rises: %s', (_, faults, hasGangs) => {
    let limited = 0;
    let atMaximum = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults, 50, hasGangs, true);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      expect(cluster.violations, `seed ${seed}`).toEqual([]);
      expect([...cluster.ended.values()], `seed ${seed}`).toEqual(Array(5).fill('completed'));
      limited += cluster.workspaceCheck.limitedStarts;
      atMaximum += cluster.workspaceCheck.startsAtMaximum;
    }
    expect(limited).toBeGreaterThan(10 * SEEDS);
    expect(atMaximum).toBeGreaterThan(5 * SEEDS);
  });

  it('never runs a task on two workers at the same time, even when workers restart', () => {
    // Delayed orders are excluded: an order that reaches a new incarnation of its worker before any call of
    // the leader can't be revoked. docs/platform-design.md lists this as an open issue.
    const faults = { ...NONE, leaderChange: 0.01, lostAnswer: 0.05, partition: 0.01, restart: 0.02 };
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      const found = cluster.violations.filter((text) => /while it runs|for no reason|could run/.test(text));
      expect(found, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  // Guards against a run that is released although a new incarnation was given it before its entry was read.
  it('never runs a task on two workers at the same time, and uses all workers, when they restart unnoticed', () => {
    const restarts = { registryLoss: 0.02, restart: 0.02, restartWithClockBehind: 0.02 };
    const faults = { ...NONE, ...restarts, lateEntry: 0.7, leaderChange: 0.01 };
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      const found = cluster.violations.filter((text) => /while it runs|for no reason|could run/.test(text));
      expect(found, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  // Guards against a run of the new life that is taken for one of the life before, and against its longer lease.
  it.each<[name: string, faults: Faults]>([
    ['and are cut off soon after', { ...UNNOTICED_RESTARTS, partition: 0.03, silence: 0.02 }],
    ['while reports are late', { ...UNNOTICED_RESTARTS, lateReport: 0.4 }],
    [
      'while reports are late and answers are lost',
      { ...UNNOTICED_RESTARTS, lateReport: 0.4, lostAnswer: 0.1 },
    ],
    [
      'and are cut off soon after, while leaders change',
      { ...UNNOTICED_RESTARTS, lateReport: 0.3, leaderChange: 0.01, leaderCrash: 0.005, silence: 0.02 },
    ],
  ])('never runs a task on two workers at the same time when they restart unnoticed %s', (_, faults) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      const found = cluster.violations.filter((text) => text.includes('while it runs'));
      expect(found, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  it('never runs a task again after its end was acknowledged when workers restart and reports are late', () => {
    const faults = { ...NONE, lateReport: 0.3, registryLoss: 0.01, restart: 0.02 };
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS, true);
      expect(cluster.violations, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });

  // Guards against an end that a new life drops for the acknowledgement of a former one, before anyone has read it.
  it.each<[name: string, faults: Faults]>([
    ['report requests are executed late', { ...UNNOTICED_RESTARTS, delayedReport: 0.1 }],
    ['answers to report requests are lost', { ...UNNOTICED_RESTARTS, lostReport: 0.2 }],
    [
      'report requests are executed late and answers to orders are lost',
      { ...UNNOTICED_RESTARTS, delayedReport: 0.1, lateReport: 0.2, lostAnswer: 0.1 },
    ],
    [
      'report requests are executed late and registry entries are lost',
      { ...UNNOTICED_RESTARTS, delayedReport: 0.1, registryLoss: 0.03, silence: 0.01 },
    ],
    [
      'report requests are executed late and leaders change',
      { ...UNNOTICED_RESTARTS, delayedReport: 0.1, leaderChange: 0.01, leaderCrash: 0.005 },
    ],
  ])('starts no task again that is done when workers restart unnoticed while %s', (_, faults) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const cluster = new SimulatedCluster(seed, faults);
      cluster.run(FAULT_PHASE_MS, false);
      cluster.run(RECOVERY_MS + LATE_CALLS_MS, true);
      const found = cluster.violations.filter((text) => /while it runs|acknowledged/.test(text));
      expect(found, `seed ${seed}`).toEqual([]);
      expect(cluster.ended.size, `seed ${seed}`).toBe(5);
    }
  });
});
