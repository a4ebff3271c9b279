import { describe, expect, it } from 'vitest';
import type { StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TASKS = 50_000;

const ROOMY = { cpuMilli: 16_000, gpus: 0, memoryMb: 64_000 };

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
});
