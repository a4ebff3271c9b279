import { describe, expect, it } from 'vitest';
import type { StartAnswer, StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

function startScheduler(...ids: string[]): Scheduler {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  for (const id of ids) {
    scheduler.onWorkerRegistered(worker(id), 0);
  }
  for (const known of scheduler.workers.values()) {
    scheduler.onReport(known, report(), 5, 10);
  }
  return scheduler;
}

function refuseStart(scheduler: Scheduler, answer: StartAnswer, now: number): StartOrder {
  const [order] = scheduler.plan(now, 0).starts;
  if (order === undefined) {
    throw new Error('nothing was started');
  }
  scheduler.onStartAnswer(order, answer, now);
  return order;
}

function startedOn(scheduler: Scheduler, now: number): string[] {
  return scheduler.plan(now, 0).starts.map(({ task, worker: known }) => `${task.name} ${known.info.id}`);
}

describe('Refused orders', () => {
  it('do not keep other tasks from a worker that refused the permit of one task', () => {
    const scheduler = startScheduler('a');
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    refuseStart(scheduler, START_ANSWER.noPermit, 20);
    scheduler.onJob(job('k', [step()]), [], 20, 0);
    expect(startedOn(scheduler, 30)).toContain('k.0.0.0 a');
  });

  it('of a task that every worker refuses as invalid keep no worker from other tasks', () => {
    const scheduler = startScheduler('a', 'b');
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    const { task } = refuseStart(scheduler, START_ANSWER.invalid, 20);
    scheduler.onJob(job('k', [step({ count: 8 })]), [], 20, 0);
    expect(startedOn(scheduler, 30)).toHaveLength(8);
    expect(task.phase).toBe('waiting');
  });

  it('of a task as invalid are repeated after a pause', () => {
    const scheduler = startScheduler('a');
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    refuseStart(scheduler, START_ANSWER.invalid, 20);
    scheduler.requestAssignment();
    expect(startedOn(scheduler, 1000)).toEqual([]);
    scheduler.requestAssignment();
    expect(startedOn(scheduler, 20 + SCHEDULER_SETTINGS.refusedPauseMs)).toEqual(['j.0.0.0 a']);
  });

  it('for a deadline that has passed are not repeated with the same reading of the clock', () => {
    const scheduler = startScheduler('a');
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    const { worker: known } = refuseStart(scheduler, START_ANSWER.late, 20);
    expect(known.extendLease(30, 4000)).toBeUndefined();
    expect(startedOn(scheduler, 30)).toEqual([]);
    scheduler.onReport(known, { ...report(), clockMs: 90_000 }, 35, 40);
    scheduler.requestAssignment();
    expect(startedOn(scheduler, 20 + SCHEDULER_SETTINGS.roomPauseMs)).toEqual(['j.0.0.0 a']);
    expect(known.extendLease(50, 4000)).toBe(94_009);
  });

  it('pause a worker that refuses for another reason, and do not end a longer pause', () => {
    const scheduler = startScheduler('a');
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    const { worker: known } = refuseStart(scheduler, START_ANSWER.refused, 20);
    expect(known.pausedUntil).toBe(20 + SCHEDULER_SETTINGS.refusedPauseMs);
    known.pausedUntil = 0;
    scheduler.requestAssignment();
    refuseStart(scheduler, START_ANSWER.noCapacity, 30);
    expect(known.pausedUntil).toBe(30 + SCHEDULER_SETTINGS.roomPauseMs);
    known.pausedUntil = 25;
    scheduler.requestAssignment();
    const order = scheduler.plan(40, 0).starts[0];
    known.pausedUntil = 5000;
    if (order !== undefined) {
      scheduler.onStartAnswer(order, START_ANSWER.noCapacity, 40);
    }
    expect(known.pausedUntil).toBe(5000);
  });
});
