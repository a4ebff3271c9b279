import { describe, expect, it } from 'vitest';
import type { Plan, Worker } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

function createScheduler(): { plan: (now: number) => Plan; scheduler: Scheduler; worker: Worker } {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  scheduler.onWorkerRegistered(worker('a'), 0);
  const found = scheduler.workers.get('a');
  if (found === undefined) {
    throw new Error('the worker is not known');
  }
  scheduler.onReport(found, report(), 0, 1);
  scheduler.onJob(job('j', [step()]), [], 2, 0);
  const plan = (now: number): Plan => {
    scheduler.requestAssignment();
    return scheduler.plan(now, now);
  };
  return { plan, scheduler, worker: found };
}

// Guards against a caller who is told that a job runs although none of its runs has begun.
describe('a job is reported as running', () => {
  it('once the order for a run is answered, not by a report of its worker before that', () => {
    const { plan, scheduler, worker: item } = createScheduler();
    const [order] = plan(10).starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    scheduler.onReport(item, report(), 11, 12);
    expect(plan(13).states).toEqual([]);
    scheduler.onStartAnswer(order, START_ANSWER.started, 14);
    expect(plan(15).states).toEqual([{ id: 'j', kind: 'state', state: 'running' }]);
  });

  it('once a report lists a run whose order was not answered', () => {
    const { plan, scheduler, worker: item } = createScheduler();
    const [order] = plan(10).starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    scheduler.onStartSent(order);
    scheduler.onStartAnswer(order, START_ANSWER.noAnswer, 14);
    expect(plan(15).states).toEqual([]);
    scheduler.onReport(item, report([['j.0.0.0', 1]]), 16, 17);
    expect(plan(18).states).toEqual([{ id: 'j', kind: 'state', state: 'running' }]);
  });
});
