import { describe, expect, it } from 'vitest';
import type { Scheduler, StepSpec, TaskRecord, Worker } from '../../src/jobs';
import { START_ANSWER } from '../../src/jobs';
import { report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';
import { configWith, createScheduler, jobOf, startedTasks, workspace } from './support/workspaces';

const NOW = 1000;

/** Time after which an unanswered order is taken for void, in ms. */
const ORDER_VOID_MS = 15_000;

function usedCores(scheduler: Scheduler, name = 'a'): number {
  const load = scheduler.workspaceLoads().find((item) => item.workspace === name);
  return (load?.reservedCpuMilli ?? 0) / 1000;
}

function planned(scheduler: Scheduler, now = NOW): string[] {
  return startedTasks(scheduler.plan(now, now));
}

function endRun(scheduler: Scheduler, id: string, row: [number: number, task: string, run: number]): void {
  const target = scheduler.workers.get(id);
  if (target === undefined) {
    throw new Error(`no worker ${id}`);
  }
  const stillRunning = [...target.runs.values()]
    .filter(({ name }) => name !== row[1])
    .map((task): [string, number] => [task.name, task.run]);
  scheduler.onReport(target, report(stillRunning, [[...row, 'done']]), NOW + 10, NOW + 20);
}

interface AdmissionCase {
  expected: number;
  maximum: Parameters<typeof workspace>[1];
  name: string;
  spec: Partial<StepSpec>;
}

const TASK = { cpuMilli: 1000, gpus: 1, memoryMb: 100 };

// Guards against a use above the maximum by a whole task or more, and against tasks that never start.
const cases: AdmissionCase[] = [
  { expected: 8, maximum: {}, name: 'no limit', spec: { count: 8 } },
  { expected: 3, maximum: { cpuMilli: 3000 }, name: 'processor time', spec: { count: 8 } },
  { expected: 3, maximum: { cpuMilli: 3999 }, name: 'a remainder that is too small', spec: { count: 8 } },
  {
    expected: 2,
    maximum: { memoryMb: 200 },
    name: 'memory',
    spec: { count: 8, demand: TASK },
  },
  { expected: 4, maximum: { gpus: 4 }, name: 'accelerators', spec: { count: 8, demand: TASK } },
  {
    expected: 2,
    maximum: { cpuMilli: 5000, gpus: 2, memoryMb: 300 },
    name: 'the scarcest of several resources',
    spec: { count: 8, demand: TASK },
  },
  { expected: 1, maximum: { cpuMilli: 500 }, name: 'a task larger than the maximum', spec: { count: 3 } },
  {
    expected: 2,
    maximum: { cpuMilli: 3100 },
    name: 'a task larger than the remainder, with more than half unused',
    spec: { count: 3, demand: { cpuMilli: 1500, gpus: 0, memoryMb: 0 } },
  },
  {
    expected: 2,
    maximum: { cpuMilli: 4000 },
    name: 'a second large task while less than half is used',
    spec: { count: 3, demand: { cpuMilli: 1999, gpus: 0, memoryMb: 0 } },
  },
  {
    expected: 2,
    maximum: { cpuMilli: 3100 },
    name: 'one task more while less than half is used',
    spec: { count: 4, demand: { cpuMilli: 1549, gpus: 0, memoryMb: 0 } },
  },
  {
    expected: 1,
    maximum: { cpuMilli: 3050, memoryMb: 700 },
    name: 'no exception while one of two resources is over half',
    spec: { count: 4, demand: { cpuMilli: 1400, gpus: 0, memoryMb: 400 } },
  },
  {
    expected: 2,
    maximum: { cpuMilli: 2000 },
    name: 'best-effort tasks, whose processor time counts in full',
    spec: { count: 5, fillsIdle: true },
  },
  {
    expected: 2,
    maximum: { cpuMilli: 2000 },
    name: 'long-running tasks',
    spec: { count: 5, longRunning: true },
  },
  {
    expected: 3,
    maximum: { cpuMilli: 0.9 },
    name: 'fractions that have no exact binary form',
    spec: { count: 5, demand: { cpuMilli: 0.3, gpus: 0, memoryMb: 0 } },
  },
  { expected: 3, maximum: { cpuMilli: 3000 }, name: 'a gang that fits', spec: { count: 3, gang: true } },
  {
    expected: 3,
    maximum: { cpuMilli: 2100 },
    name: 'a gang that exceeds the maximum by less than a member',
    spec: { count: 3, gang: true },
  },
  {
    expected: 0,
    maximum: { cpuMilli: 2000 },
    name: 'a gang that exceeds the maximum by a member',
    spec: { count: 3, gang: true },
  },
];

describe('maximum of a workspace', () => {
  it.each(cases)('limits what is assigned: $name', ({ expected, maximum, spec }) => {
    const scheduler = createScheduler(configWith([workspace('a', maximum)]), { p: ['w1', 'w2', 'w3'] });
    scheduler.onJob(jobOf('a', 'j', [step(spec)]), [], NOW, NOW);
    expect(planned(scheduler)).toHaveLength(expected);
    scheduler.requestAssignment();
    expect(planned(scheduler)).toEqual([]);
  });

  it('does not use the exception at half of the maximum', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1'] });
    scheduler.onJob(jobOf('a', 'j', [step()]), [], NOW, NOW);
    planned(scheduler);
    const large = step({ demand: { cpuMilli: 1001, gpus: 0, memoryMb: 0 } });
    scheduler.onJob(jobOf('a', 'k', [large]), [], NOW, NOW);
    expect(planned(scheduler)).toEqual([]);
  });

  it('does not limit jobs without a workspace, of another one or of one that the configuration has not', () => {
    const cfg = configWith([workspace('a', { cpuMilli: 1000 }), workspace('b')]);
    const scheduler = createScheduler(cfg, { p: ['w1', 'w2'] });
    for (const name of ['a', 'b', 'gone', undefined]) {
      scheduler.onJob(jobOf(name, `j${name ?? ''}`, [step({ count: 4 })]), [], NOW, NOW);
    }
    expect(planned(scheduler)).toHaveLength(13);
  });

  it('counts over all pools, and starts tasks in one pool when one of another pool ends', () => {
    const cfg = configWith([workspace('a', { cpuMilli: 2000 })]);
    const scheduler = createScheduler(cfg, { p: ['w1'], q: ['w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 2 })], 'p'), [], NOW, NOW);
    scheduler.onJob(jobOf('a', 'k', [step({ count: 2 })], 'q'), [], NOW, NOW);
    expect(planned(scheduler)).toEqual(['j.0.0.0', 'j.0.0.1']);
    endRun(scheduler, 'w1', [1, 'j.0.0.0', 1]);
    expect(planned(scheduler)).toEqual(['k.0.0.0']);
    expect(usedCores(scheduler)).toBe(2);
  });

  it('starts nothing above a lowered maximum, stops nothing, and still sends the orders of assigned tasks', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 4000 })]), { p: ['w1'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 6 })]), [], NOW, NOW);
    const plan = scheduler.plan(NOW, NOW);
    expect(plan.starts).toHaveLength(4);
    scheduler.onConfig(configWith([workspace('a', { cpuMilli: 2000 })]));
    expect(plan.starts.every((order) => scheduler.isStartPending(order))).toBe(true);
    endRun(scheduler, 'w1', [1, 'j.0.0.0', 1]);
    const next = scheduler.plan(NOW + 20, NOW + 20);
    expect(next.stops).toEqual([]);
    expect(next.starts).toEqual([]);
    endRun(scheduler, 'w1', [2, 'j.0.0.1', 1]);
    expect(planned(scheduler)).toEqual([]);
    endRun(scheduler, 'w1', [3, 'j.0.0.2', 1]);
    expect(planned(scheduler)).toEqual(['j.0.0.4']);
  });

  it('starts tasks at the next plan after the maximum was raised, or the workspace dropped or renamed', () => {
    for (const workspaces of [[workspace('a', { cpuMilli: 3000 })], [], [workspace('b')], undefined]) {
      const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1'] });
      scheduler.onJob(jobOf('a', 'j', [step({ count: 3 })]), [], NOW, NOW);
      expect(planned(scheduler)).toHaveLength(2);
      scheduler.onConfig(configWith(workspaces));
      expect(planned(scheduler)).toEqual(['j.0.0.2']);
    }
  });

  it('counts a run whose order got no answer until the worker can no longer carry it out', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 1000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 2 })]), [], NOW, NOW);
    const [order] = scheduler.plan(NOW, NOW).starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    scheduler.onStartSent(order);
    scheduler.onStartAnswer(order, START_ANSWER.noAnswer, NOW + 100);
    expect(planned(scheduler, NOW + 100)).toEqual([]);
    // The order is revoked after a report without the run, but may still arrive.
    scheduler.onReport(order.worker, report(), NOW + 200, NOW + 210);
    scheduler.requestAssignment();
    expect(planned(scheduler, NOW + 210)).toEqual([]);
    expect(usedCores(scheduler)).toBe(1);
    scheduler.onReport(order.worker, report(), NOW + 300 + ORDER_VOID_MS, NOW + 310 + ORDER_VOID_MS);
    expect(planned(scheduler, NOW + 310 + ORDER_VOID_MS)).toHaveLength(1);
  });

  it('counts the runs of a silent worker until their lease has ended', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 1000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 2 })]), [], NOW, NOW);
    const [order] = scheduler.plan(NOW, NOW).starts;
    const target = order?.worker;
    if (order === undefined || target === undefined) {
      throw new Error('nothing was started');
    }
    scheduler.onReport(target, report([[order.task.name, 1]]), NOW + 10, NOW + 20);
    target.extendLease(NOW + 20, 4000);
    scheduler.onWorkerUnresponsive(target, NOW + 20);
    scheduler.tick(NOW + 3000, 0);
    expect(planned(scheduler, NOW + 3000)).toEqual([]);
    expect(usedCores(scheduler)).toBe(1);
    scheduler.tick(target.leaseEndsAt + 1, 0);
    expect(planned(scheduler, target.leaseEndsAt + 1)).toHaveLength(1);
    expect(usedCores(scheduler)).toBe(1);
  });

  it('counts the runs of an earlier term before the first plan of a new leader', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1', 'w2'] });
    const record = (index: number, workerId: string): TaskRecord => ({
      checkpoint: '',
      failures: 0,
      run: 1,
      state: 'assigned',
      task: `j.0.0.${index}`,
      workerId,
    });
    // One of the workers is not in the registry.
    scheduler.onJob(jobOf('a', 'j', [step({ count: 4 })]), [record(0, 'w1'), record(3, 'w9')], NOW, NOW);
    expect(usedCores(scheduler)).toBe(2);
    expect(planned(scheduler)).toEqual([]);
    const target = scheduler.workers.get('w1');
    if (target === undefined) {
      throw new Error('no worker');
    }
    scheduler.onReport(target, report(), NOW + 10, NOW + 20);
    expect(planned(scheduler, NOW + 20)).toHaveLength(1);
  });

  it('counts orphaned runs while a worker lists them, and those of unknown jobs not', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 3 })]), [], NOW, NOW);
    const [first] = scheduler.workers.values();
    if (first === undefined) {
      throw new Error('no worker');
    }
    const rows: [string, number][] = [
      ['j.0.0.2', 7],
      ['unknown.0.0.0', 1],
      ['j.0.5.0', 1],
      ['no task', 1],
    ];
    scheduler.onReport(first, report(rows), NOW, NOW);
    expect(usedCores(scheduler)).toBe(1);
    expect(planned(scheduler)).toHaveLength(1);
    scheduler.onReport(first, report(rows), NOW + 10, NOW + 10);
    expect(usedCores(scheduler)).toBe(2);
    scheduler.onReport(first, report(), NOW + 20, NOW + 20);
    expect(usedCores(scheduler)).toBe(1);
    expect(planned(scheduler)).toHaveLength(1);
    scheduler.onReport(first, report(rows), NOW + 30, NOW + 30);
    expect(usedCores(scheduler)).toBe(3);
    scheduler.onWorkerDeregistered(first.info.id);
    expect(usedCores(scheduler)).toBe(2);
  });

  // Guards against a workspace that is blocked for good by a worker that is cut off and stays registered.
  it('counts orphaned runs of a silent worker until its lease has ended, and again once they are listed', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 1000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step()]), [], NOW, NOW);
    const [first] = scheduler.workers.values();
    if (first === undefined) {
      throw new Error('no worker');
    }
    scheduler.onReport(first, report([['j.0.0.0', 7]]), NOW, NOW);
    scheduler.onWorkerUnresponsive(first, NOW);
    const leaseEndsAt = first.longestLeaseEndsAt(SCHEDULER_SETTINGS.maxLeaseMs);
    scheduler.tick(leaseEndsAt, leaseEndsAt);
    expect(usedCores(scheduler)).toBe(1);
    expect(planned(scheduler, leaseEndsAt)).toEqual([]);
    const later = leaseEndsAt + 1;
    scheduler.tick(later, later);
    expect(usedCores(scheduler)).toBe(0);
    expect(planned(scheduler, later)).toEqual(['j.0.0.0']);
    scheduler.onReport(first, report([['j.0.0.0', 7]]), later, later);
    expect(usedCores(scheduler)).toBe(2);
  });

  it('counts the occurrences of a scheduled job', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 3000 })]), { p: ['w1', 'w2'] });
    const recurring = jobOf('a', 'j', [step({ count: 2 })]);
    recurring.spec.schedule = { count: 5, firstAt: NOW, intervalMs: 100 };
    scheduler.onJob(recurring, [], NOW, NOW);
    expect(planned(scheduler)).toHaveLength(2);
    scheduler.tick(NOW + 250, NOW + 250);
    expect(planned(scheduler, NOW + 250)).toEqual(['j.1.0.0']);
  });

  it('assigns all members of a gang or none', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 4000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 2 })]), [], NOW, NOW);
    expect(planned(scheduler)).toHaveLength(2);
    scheduler.onJob(jobOf('a', 'k', [step({ count: 3, gang: true })]), [], NOW, NOW);
    expect(planned(scheduler)).toEqual([]);
    endRun(
      scheduler,
      scheduler.jobs.get('j')?.findStep({ occurrence: 0, step: 0 })?.findTask(0)?.worker?.info.id ?? '',
      [1, 'j.0.0.0', 1],
    );
    expect(planned(scheduler)).toEqual(['k.0.0.0', 'k.0.0.1', 'k.0.0.2']);
  });
});

// Guards against members that go on while their gang is done and that nothing counts any more.
describe('members of a gang that is done', () => {
  function startGang(): { first: Worker; scheduler: Scheduler; second: Worker } {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1', 'w2'] });
    const gang = step({ count: 2, gang: true, maxPerWorker: 1 });
    scheduler.onJob(jobOf('a', 'j', [gang]), [], NOW, NOW);
    scheduler.onJob(jobOf('a', 'k', [step({ count: 2 })]), [], NOW, NOW);
    const [first, second] = scheduler.plan(NOW, NOW).starts.map((order) => {
      scheduler.onStartAnswer(order, START_ANSWER.started, NOW + 1);
      return order.worker;
    });
    if (first === undefined || second === undefined) {
      throw new Error('the gang was not started');
    }
    scheduler.onReport(second, report([['j.0.0.1', 1]]), NOW + 2, NOW + 5);
    scheduler.onReport(first, report([], [[1, 'j.0.0.0', 1, 'done']]), NOW + 10, NOW + 20);
    return { first, scheduler, second };
  }

  it('count until a report that was requested later does not list them', () => {
    const { scheduler, second } = startGang();
    expect(usedCores(scheduler)).toBe(1);
    expect(planned(scheduler, NOW + 20)).toEqual(['k.0.0.0']);
    scheduler.onReport(second, report(), NOW + 15, NOW + 25);
    expect(planned(scheduler, NOW + 25)).toEqual([]);
    scheduler.onReport(second, report([['j.0.0.1', 1]]), NOW + 30, NOW + 35);
    expect(usedCores(scheduler)).toBe(2);
    expect(planned(scheduler, NOW + 35)).toEqual([]);
    scheduler.onReport(second, report(), NOW + 40, NOW + 45);
    expect(planned(scheduler, NOW + 45)).toEqual(['k.0.0.1']);
  });

  it('count until the worker restarts or its longest lease has ended', () => {
    const { scheduler, second } = startGang();
    scheduler.onWorkerRegistered(worker(second.info.id, { bornAt: 2 }), NOW + 30);
    expect(usedCores(scheduler)).toBe(0);
    const other = startGang();
    other.second.extendLease(NOW + 20, 4000);
    other.scheduler.onWorkerUnresponsive(other.second, NOW + 20);
    other.scheduler.tick(NOW + 1000, 0);
    expect(usedCores(other.scheduler)).toBe(1);
    other.scheduler.tick(NOW + 60_000, 0);
    expect(usedCores(other.scheduler)).toBe(0);
  });

  it('count until the longest lease of a worker has ended that is no longer registered', () => {
    const { scheduler, second } = startGang();
    second.extendLease(NOW + 20, 4000);
    scheduler.onWorkerDeregistered(second.info.id);
    scheduler.tick(NOW + 1000, 0);
    expect(usedCores(scheduler)).toBe(1);
    scheduler.tick(NOW + 60_000, 0);
    expect(usedCores(scheduler)).toBe(0);
    expect(scheduler.workers.has(second.info.id)).toBe(false);
  });

  it.each(['onWorkerEnded', 'onWorkerReplaced'] as const)('no longer count after %s', (event) => {
    const { scheduler, second } = startGang();
    scheduler[event](second, NOW + 30);
    expect(usedCores(scheduler)).toBe(0);
    expect(scheduler.workers.has(second.info.id)).toBe(false);
  });
});

describe('tasks that wait for the maximum', () => {
  it('are reported with the use and the maximum, apart from others', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 5 })]), [], NOW, NOW);
    scheduler.onJob(
      jobOf(undefined, 'k', [step({ demand: { cpuMilli: 1, gpus: 9, memoryMb: 1 } })]),
      [],
      NOW,
      NOW,
    );
    planned(scheduler);
    scheduler.waitingWithRoom(NOW);
    const reports = scheduler.waitingWithRoom(NOW + 3000);
    expect(reports).toMatchObject([
      { byReason: { 'no-room-accelerators': 2 }, task: 'k.0.0.0' },
      {
        atMaximum: {
          isGangTooLarge: false,
          maximum: { cpuMilli: 2000 },
          use: { cpuMilli: 2000 },
          workspace: 'a',
        },
        byReason: { 'workspace-maximum': 2 },
        count: 3,
        task: 'j.0.0.2',
      },
    ]);
    expect(reports[0]?.atMaximum).toBeUndefined();
  });

  it('are reported as a gang that never fits, also while the pool is full', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1'] });
    scheduler.onJob(jobOf(undefined, 'k', [step({ count: 8 })]), [], NOW, NOW);
    scheduler.onJob(jobOf('a', 'j', [step({ count: 4, gang: true })]), [], NOW, NOW);
    planned(scheduler);
    scheduler.waitingWithRoom(NOW);
    expect(scheduler.waitingWithRoom(NOW + 3000)).toMatchObject([
      { atMaximum: { isGangTooLarge: true }, task: 'j.0.0.0' },
    ]);
  });

  it('need no capacity, and of a step only those that may start do', () => {
    const cfg = configWith([workspace('a', { cpuMilli: 3000 })]);
    const scheduler = createScheduler(cfg, { p: [], q: [] });
    const spec = step({ count: 8, preferredRack: 'r9', requiredLabel: 'big' });
    scheduler.onJob(jobOf('a', 'j', [spec]), [], NOW, NOW);
    scheduler.onJob(jobOf('a', 'k', [spec], 'q'), [], NOW, NOW);
    const [first, second] = scheduler.loads(NOW);
    expect(first).toMatchObject({ endingCpuMilli: 3000, stranded: [{ count: 3 }], waitingCpuMilli: 3000 });
    expect(first?.waitingByLabel).toEqual(new Map([['big', 3000]]));
    expect(second).toMatchObject({ endingCpuMilli: 0, stranded: [], waitingCpuMilli: 0 });
    expect(second?.waitingByLabel).toEqual(new Map());
    expect(second?.nearLabels).toEqual(new Set());
  });

  it('need no worker for the limit per worker of a long-running step', () => {
    const scheduler = createScheduler(configWith([workspace('a', { cpuMilli: 2000 })]), { p: ['w1', 'w2'] });
    scheduler.onJob(jobOf('a', 'j', [step({ count: 6, longRunning: true, maxPerWorker: 1 })]), [], NOW, NOW);
    expect(scheduler.loads(NOW)[0]).toMatchObject({ floor: 2, waitingCpuMilli: 2000 });
    expect(planned(scheduler)).toHaveLength(2);
    expect(scheduler.loads(NOW)[0]).toMatchObject({ floor: 2, waitingCpuMilli: 0 });
  });

  it('need the capacity of a whole gang or none', () => {
    const cfg = configWith([workspace('a', { cpuMilli: 4000 })]);
    const scheduler = createScheduler(cfg, { p: [] });
    const gang = step({ count: 3, gang: true });
    scheduler.onJob(jobOf('a', 'j', [gang]), [], NOW, NOW);
    scheduler.onJob(jobOf('a', 'k', [gang]), [], NOW, NOW);
    expect(scheduler.loads(NOW)[0]).toMatchObject({ stranded: [{ count: 3 }], waitingCpuMilli: 3000 });
  });
});
