import { describe, expect, it } from 'vitest';
import type { TaskRecord } from '../../src/jobs';
import { Scheduler } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

describe('a gang of an earlier leader', () => {
  it('starts again without waiting for the members of which the earlier leader could not order the stop', () => {
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a'), 100);
    const member: TaskRecord = {
      checkpoint: '',
      failures: 0,
      run: 1,
      state: 'assigned',
      task: 'j.0.0.0',
      workerId: 'a',
    };
    const released: TaskRecord = { ...member, state: 'waiting', task: 'j.0.0.1', workerId: 'gone' };
    scheduler.onJob(job('j', [step({ count: 2, gang: true })]), [member, released], 100, 0);
    const known = scheduler.workers.get('a');
    if (known === undefined) {
      throw new Error('the worker is not known');
    }
    scheduler.onReport(known, report([['j.0.0.0', 1]]), 105, 110);
    const [stop] = scheduler.plan(120, 0).stops;
    expect(stop).toMatchObject({ run: 1, task: 'j.0.0.0' });
    scheduler.onReport(known, report([], [[1, 'j.0.0.0', 1, 'stopped']]), 125, 130);
    expect(scheduler.plan(140, 0).starts).toMatchObject([{ run: 2 }, { run: 2 }]);
  });

  it('is done when the earlier leader stored the end of one member only', () => {
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    const done: TaskRecord = {
      checkpoint: '',
      failures: 0,
      run: 1,
      state: 'done',
      task: 'j.0.0.0',
      workerId: '',
    };
    const assigned: TaskRecord = { ...done, state: 'assigned', task: 'j.0.0.1', workerId: 'gone' };
    scheduler.onJob(job('j', [step({ count: 2, gang: true })]), [done, assigned], 100, 0);
    expect(scheduler.plan(120, 0).states).toMatchObject([{ id: 'j', state: 'completed' }]);
  });
});
