import type { SchedulableWorker, SchedulerInput, Task } from '@sequoiaquay/core';
import { classifyWorkers, DemandEstimates, TaskScheduler, TaskTable } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import { failed, lease, renew, task } from './task-records';

const CAPACITY = { accelerators: 0, memoryMb: 8192, processors: 4 };

function table(): TaskTable {
  return new TaskTable({ keepFinishedMs: 1_000_000 });
}

function worker(
  id: string,
  running: Task[] = [],
  use: SchedulableWorker['use'] = 'normal',
): SchedulableWorker {
  return { capacity: CAPACITY, id, pool: 'batch', running, use };
}

function accept(count: number, spec: Parameters<typeof task>[2] = {}, prefix = 't'): Task[] {
  const tasks = table();
  return Array.from({ length: count }, (_, n) =>
    tasks.apply(n, task(`${prefix}${n}`, n, spec))._unsafeUnwrap(),
  );
}

function acceptOne(spec: Parameters<typeof task>[2]): Task {
  return table()
    .apply(0, task('one', 0, spec))
    ._unsafeUnwrap();
}

function input(
  pending: Task[],
  workers: SchedulableWorker[],
  more: Partial<SchedulerInput> = {},
): SchedulerInput {
  return {
    expectedDemand: (one) => one.demand,
    now: 1000,
    pending,
    shareOf: () => ({ maxRunning: 1000, weight: 1 }),
    workers,
    ...more,
  };
}

describe('TaskScheduler', () => {
  const scheduler = new TaskScheduler();

  // Guards against overcommitted workers and urgent tasks that wait behind others.
  it('fills workers to their capacity, urgent tasks first', () => {
    const pending = [...accept(10), ...accept(3, { urgent: true }, 'u')];
    const plan = scheduler.plan(input(pending, [worker('w1'), worker('w2')]));
    expect(plan.placements.slice(0, 3).map((one) => one.task.id)).toEqual(['u0', 'u1', 'u2']);
    expect(plan.placements.filter((one) => one.worker === 'w1')).toHaveLength(4);
    expect(plan.placements).toHaveLength(8);
  });

  // Guards against a team that occupies the whole pool, and against quotas that are not enforced.
  it('shares processors between teams by weight and enforces quotas', () => {
    const pending = [...accept(20, { scope: 'a' }, 'a'), ...accept(20, { scope: 'b' }, 'b')];
    const workers = ['w1', 'w2', 'w3'].map((id) => worker(id));
    const count = (plan: ReturnType<TaskScheduler['plan']>, team: string): number =>
      plan.placements.filter((one) => one.task.scope === team).length;
    const shared = scheduler.plan(
      input(pending, workers, { shareOf: (team) => ({ maxRunning: 99, weight: team === 'a' ? 3 : 1 }) }),
    );
    expect([count(shared, 'a'), count(shared, 'b')]).toEqual([9, 3]);
    const limited = scheduler.plan(
      input(pending, workers, { shareOf: () => ({ maxRunning: 2, weight: 1 }) }),
    );
    expect([count(limited, 'a'), count(limited, 'b')]).toEqual([2, 2]);
  });

  // Guards against a declared demand far from the actual usage: 4 times too large, then 8 times too small.
  it('places tasks by measured usage instead of the declared demand', () => {
    const estimates = new DemandEstimates();
    const demand = { accelerators: 0, memoryMb: 100, processors: 4 };
    const first = acceptOne({ demand });
    const others = accept(8, { demand });
    const plan = (): number =>
      scheduler.plan(
        input(others, [worker('w1')], { expectedDemand: (one) => estimates.expectedDemand(one) }),
      ).placements.length;
    expect(plan()).toBe(1);
    estimates.observe(first, { accelerators: 0, memoryMb: 100, processors: 1 });
    expect(plan()).toBe(4);
    estimates.observe(first, { accelerators: 0, memoryMb: 100, processors: 8 });
    expect(plan()).toBe(1);
  });

  // Guards against an urgent task that waits for long tasks, and against evicting tasks that can't be resumed.
  it('evicts the fewest repeatable tasks for an urgent task', () => {
    const tasks = table();
    const running = Array.from({ length: 4 }, (_, n) => {
      tasks.apply(3 * n, task(`r${n}`, n, { repeatable: n > 1 }));
      tasks.apply(3 * n + 1, lease(`l${n}`, `r${n}`, 1, 'w1', n, 9999));
      return tasks.apply(3 * n + 2, renew(`n${n}`, `r${n}`, 1, n, 9999))._unsafeUnwrap();
    });
    const urgent = acceptOne({ demand: { ...CAPACITY, memoryMb: 10, processors: 2 }, urgent: true });
    const plan = scheduler.plan(input([urgent], [worker('w1', running)]));
    expect(plan.placements).toEqual([]);
    expect(plan.evictions.map((one) => one.id)).toEqual(['r3', 'r2']);
  });

  // Guards against a large task that never starts because small tasks use all free capacity.
  it('reserves a worker for a large task that has waited long', () => {
    const tasks = table();
    tasks.apply(0, task('r', 0));
    const running = tasks.apply(1, lease('l', 'r', 1, 'w1', 0, 99_999))._unsafeUnwrap();
    const large = acceptOne({ demand: { ...CAPACITY, accelerators: 0 }, scope: 'a' });
    const small = accept(5, { scope: 'b' }, 'small');
    const pending = [large, ...small];
    expect(scheduler.plan(input(pending, [worker('w1', [running])])).placements).toHaveLength(3);
    expect(scheduler.plan(input(pending, [worker('w1', [running])], { now: 40_000 })).placements).toEqual([]);
  });

  // Guards against a task that is retried on the same worker while others are untried.
  it('retries a failed task on another worker', () => {
    const tasks = table();
    tasks.apply(0, task('t', 0));
    tasks.apply(1, lease('l', 't', 1, 'w1', 1, 100));
    const pending = [tasks.apply(2, failed('f', 't', 1, 'job', 2))._unsafeUnwrap()];
    const later = { now: 100_000 };
    expect(scheduler.plan(input(pending, [worker('w1')], later)).placements).toHaveLength(1);
    const plan = scheduler.plan(input(pending, [worker('w1'), worker('w2')], later));
    expect(plan.placements.map((one) => one.worker)).toEqual(['w2']);
  });
});

describe('classifyWorkers', () => {
  const settings = { probeAfterMs: 1000, workerFailureLimit: 3 };
  const streak = (id: string, failures: number, jobs: number) => ({ failures, jobs, lastAt: 0, worker: id });

  // Guards against failing workers that stay in use, a single failing job that quarantines all workers, and
  // quarantined workers that are never probed.
  it('quarantines the workers with the most failures, within the budget, for a time', () => {
    const workers = [streak('w1', 5, 2), streak('w2', 3, 3), streak('w3', 9, 1), streak('w4', 2, 2)];
    const uses = (min: number, now: number) =>
      Object.fromEntries(classifyWorkers(workers, min, now, settings));
    expect(uses(1, 500)).toEqual({ w1: 'quarantined', w2: 'quarantined', w3: 'normal', w4: 'normal' });
    expect(uses(3, 500)).toEqual({ w1: 'quarantined', w2: 'normal', w3: 'normal', w4: 'normal' });
    expect(uses(4, 500)).toMatchObject({ w1: 'normal' });
    expect(uses(1, 1000)).toMatchObject({ w1: 'probe' });
  });
});

describe('usage reports in renewals', () => {
  // Guards against capacity that stays allocated as declared although the task uses less.
  it('correct the demand of the running task and of later tasks of the same job', () => {
    const tasks = table();
    tasks.apply(0, task('t', 0));
    tasks.apply(1, lease('l', 't', 1, 'w1', 1, 100));
    const usage = { accelerators: 0, memoryMb: 64, processors: 0.25 };
    const renewed = tasks.apply(2, { ...renew('r', 't', 1, 2, 200), usage })._unsafeUnwrap();
    expect(renewed.lease?.demand).toEqual(usage);
    expect(tasks.estimates.expectedDemand(renewed)).toEqual(usage);
  });
});
