import { describe, expect, it } from 'vitest';
import type { StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TASKS = 50_000;

const ROOMY = { cpuMilli: 16_000, gpus: 0, memoryMb: 64_000 };

/** Number of tasks, of some 700 bytes each, that leave half of a heap of 120 MB free. */
const MAX_HELD_TASKS = 80_000;

/** Best-effort tasks, for all of which there is room at once. */
const WIDE = step({ count: TASKS, demand: { cpuMilli: 100, gpus: 0, memoryMb: 8 }, fillsIdle: true });

function createScheduler(workerCount: number): Scheduler {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  for (let index = 0; index < workerCount; index += 1) {
    scheduler.onWorkerRegistered(worker(`w${index}`, { capacity: ROOMY }), 0);
  }
  for (const known of scheduler.workers.values()) {
    scheduler.onReport(known, report([]), 1, 2);
  }
  return scheduler;
}

function answer(scheduler: Scheduler, starts: readonly StartOrder[], now: number): void {
  for (const order of starts) {
    scheduler.onStartSent(order);
    scheduler.onStartAnswer(order, START_ANSWER.started, now);
  }
}

// Guards against a wide job that keeps the leader from starting the tasks of all others.
describe('a job of many tasks', () => {
  it('leaves the next plan to a small job that is accepted after it', () => {
    const scheduler = createScheduler(16);
    scheduler.onJob(job('wide', [WIDE]), [], 10, 0);
    const first = scheduler.plan(20, 0).starts;
    expect(first.length).toBeLessThan(1000);
    scheduler.onJob(job('small', [step()]), [], 30, 0);
    expect(scheduler.plan(40, 0).starts.map(({ task }) => task.name)).toEqual(['small.0.0.0']);
  });

  it('goes on with each answer until all its tasks run', () => {
    const scheduler = createScheduler(16);
    scheduler.onJob(job('wide', [WIDE]), [], 10, 0);
    let started = 0;
    for (let now = 20; now < 2000 && started < TASKS; now += 1) {
      const { starts } = scheduler.plan(now, 0);
      answer(scheduler, starts, now);
      started += starts.length;
    }
    expect(started).toBe(TASKS);
  });

  // A leader that holds each of them runs out of memory, and so does each one after it.
  it('holds none of its tasks in memory before their turn, nor after their end', () => {
    const { ended, scheduler } = runAll(['a', 'b', 'c', 'd']);
    expect(ended).toEqual(['a', 'b', 'c', 'd']);
    expect(scheduler.jobs.size).toBe(0);
  });

  it('leaves room in the memory of the leader when all its tasks could run, and some of it to each other job', () => {
    const scheduler = createScheduler(24);
    ['a', 'b', 'c', 'd'].forEach((id) => {
      scheduler.onJob(job(id, [{ ...WIDE, longRunning: true }]), [], 10, 0);
    });
    for (let now = 20; now < 1000; now += 1) {
      answer(scheduler, scheduler.plan(now, 0).starts, now);
    }
    expect(countTasks(scheduler)).toBeLessThan(MAX_HELD_TASKS);
    scheduler.onJob(job('small', [step()]), [], 1000, 0);
    expect(scheduler.plan(1010, 0).starts.map(({ task }) => task.name)).toContain('small.0.0.0');
  });

  it('starts none of its tasks again under a later leader that finds them done', () => {
    const scheduler = createScheduler(1);
    const done = { indexes: Array.from({ length: TASKS - 2 }, (_, index) => index), occurrence: 0, step: 0 };
    const wide = job('j', [step({ count: TASKS }), step({ after: [0] })]);
    scheduler.onJob(wide, [], 10, 0, [done]);
    expect(countTasks(scheduler)).toBe(0);
    const { starts } = scheduler.plan(20, 0);
    expect(starts.map(({ task }) => task.name)).toEqual([`j.0.0.${TASKS - 2}`, `j.0.0.${TASKS - 1}`]);
  });

  it('is completed under a later leader that finds all its tasks done', () => {
    const scheduler = createScheduler(1);
    const done = { indexes: [0, 1, 2], occurrence: 0, step: 0 };
    scheduler.onJob(job('j', [step({ count: 3 })]), [], 10, 0, [done]);
    expect(scheduler.plan(20, 0).states).toMatchObject([{ id: 'j', state: 'completed' }]);
    scheduler.onEndStored('j');
    const tombstones = scheduler.plan(30, 0).records.map(({ key, value }) => [key, value]);
    expect(tombstones).toEqual([0, 1, 2].map((index) => [`t.j.0.0.${index}`, undefined]));
  });
});

const ROOM = 16;

/** Runs jobs of 2,000 tasks on one worker with room for 16, and returns those that were completed, in order. */
function runAll(ids: readonly string[]): { ended: string[]; scheduler: Scheduler } {
  const scheduler = createScheduler(1);
  const [known] = scheduler.workers.values();
  if (known === undefined) {
    throw new Error('the worker is not known');
  }
  const small = { cpuMilli: 1000, gpus: 0, memoryMb: 100 };
  ids.forEach((id) => {
    scheduler.onJob(job(id, [step({ count: 2000, demand: small })]), [], 10, 0);
  });
  const ended: string[] = [];
  const started = new Set<string>();
  let number = 0;
  for (let now = 20; now < 2000 && ended.length < ids.length; now += 1) {
    const plan = scheduler.plan(now, 0);
    answer(scheduler, plan.starts, now);
    const rows = plan.starts.map(({ run, task }) => {
      expect(started.has(task.name)).toBe(false);
      started.add(task.name);
      number += 1;
      return [number, task.name, run, 'done'] as [number, string, number, 'done'];
    });
    expect(countTasks(scheduler)).toBeLessThanOrEqual(ROOM + ids.length);
    scheduler.onReport(known, report([], rows), now, now);
    const states = plan.states.filter(({ state }) => state === 'completed');
    states.forEach(({ id }) => {
      ended.push(id);
      scheduler.onEndStored(id);
    });
  }
  return { ended: ended.sort(), scheduler };
}

function countTasks(scheduler: Scheduler): number {
  return [...scheduler.jobs.values()].reduce((sum, run) => sum + [...run.tasks()].length, 0);
}
