import type { SchedulableWorker, SchedulerInput, Task } from '@sequoiaquay/core';
import { DemandEstimates, TaskScheduler, TaskTable, useOfWorkers } from '@sequoiaquay/core';
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
    expect: (one) => one.demand,
    now: 1000,
    pending,
    shareOf: () => ({ maxRunning: 1000, weight: 1 }),
    workers,
    ...more,
  };
}

describe('TaskScheduler', () => {
  const scheduler = new TaskScheduler();

  // Guards against overfilled workers and against urgent tasks that wait behind others.
  it('fills workers to their capacity, urgent tasks first', () => {
    const pending = [...accept(10), ...accept(3, { urgent: true }, 'u')];
    const plan = scheduler.plan(input(pending, [worker('w1'), worker('w2')]));
    expect(plan.placements.slice(0, 3).map((one) => one.task.id)).toEqual(['u0', 'u1', 'u2']);
    expect(plan.placements.filter((one) => one.worker === 'w1')).toHaveLength(4);
    expect(plan.placements).toHaveLength(8);
  });

  // Guards against a team that takes the whole pool, and against quotas that are not kept.
  it('shares processors between teams by weight and keeps quotas', () => {
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

  // Guards against declared sizes far from the truth: 4 times too large, then 8 times too small.
  it('places by measured use instead of the declared demand', () => {
    const estimates = new DemandEstimates();
    const demand = { accelerators: 0, memoryMb: 100, processors: 4 };
    const first = acceptOne({ demand });
    const others = accept(8, { demand });
    const plan = (): number =>
      scheduler.plan(input(others, [worker('w1')], { expect: (one) => estimates.expect(one) })).placements
        .length;
    expect(plan()).toBe(1);
    estimates.observe(first, { accelerators: 0, memoryMb: 100, processors: 1 });
    expect(plan()).toBe(4);
    estimates.observe(first, { accelerators: 0, memoryMb: 100, processors: 8 });
    expect(plan()).toBe(1);
  });

  // Guards against an urgent task that waits for long tasks, and against cutting work that can't be resumed.
  it('makes room for an urgent task with the fewest repeatable tasks', () => {
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

  // Guards against a large task that never starts because small ones keep taking the room.
  it('keeps a worker for a large task that has waited long', () => {
    const tasks = table();
    tasks.apply(0, task('r', 0));
    const running = tasks.apply(1, lease('l', 'r', 1, 'w1', 0, 99_999))._unsafeUnwrap();
    const large = acceptOne({ demand: { ...CAPACITY, accelerators: 0 }, scope: 'a' });
    const small = accept(5, { scope: 'b' }, 'small');
    const pending = [large, ...small];
    expect(scheduler.plan(input(pending, [worker('w1', [running])])).placements).toHaveLength(3);
    expect(scheduler.plan(input(pending, [worker('w1', [running])], { now: 40_000 })).placements).toEqual([]);
  });

  // Guards against a task that fails on the same worker again while others have not been tried.
  it('tries a failed task on another worker', () => {
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

describe('useOfWorkers', () => {
  const settings = { probeAfterMs: 1000, workerFailureLimit: 3 };
  const streak = (id: string, failures: number, jobs: number) => ({ failures, jobs, lastAt: 0, worker: id });

  // Guards against failing workers in use, a pool emptied by one bad job, and workers never tried again.
  it('sets aside the worst workers, within the budget, for a time', () => {
    const workers = [streak('w1', 5, 2), streak('w2', 3, 3), streak('w3', 9, 1), streak('w4', 2, 2)];
    const uses = (min: number, now: number) => Object.fromEntries(useOfWorkers(workers, min, now, settings));
    expect(uses(1, 500)).toEqual({ w1: 'aside', w2: 'aside', w3: 'normal', w4: 'normal' });
    expect(uses(3, 500)).toEqual({ w1: 'aside', w2: 'normal', w3: 'normal', w4: 'normal' });
    expect(uses(4, 500)).toMatchObject({ w1: 'normal' });
    expect(uses(1, 1000)).toMatchObject({ w1: 'probe' });
  });
});

describe('usage reports in renewals', () => {
  // Guards against a place that stays as large as declared although the task uses less.
  it('correct the demand of the running task and of later tasks of the job', () => {
    const tasks = table();
    tasks.apply(0, task('t', 0));
    tasks.apply(1, lease('l', 't', 1, 'w1', 1, 100));
    const usage = { accelerators: 0, memoryMb: 64, processors: 0.25 };
    const renewed = tasks.apply(2, { ...renew('r', 't', 1, 2, 200), usage })._unsafeUnwrap();
    expect(renewed.lease?.demand).toEqual(usage);
    expect(tasks.estimates.expect(renewed)).toEqual(usage);
  });
});
