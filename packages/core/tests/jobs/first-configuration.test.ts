import { describe, expect, it } from 'vitest';
import type { TaskRecord } from '../../src/jobs';
import { Scheduler } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const RECORD: TaskRecord = {
  checkpoint: '',
  failures: 2,
  run: 2,
  state: 'waiting',
  task: 'j.0.0.0',
  workerId: '',
};

function takeOver(failures: number): Scheduler {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onWorkerRegistered(worker('a'), 0);
  for (const known of scheduler.workers.values()) {
    scheduler.onReport(known, report(), 0, 1);
  }
  scheduler.onJob(job('j', [step()]), [{ ...RECORD, failures }], 2, 0);
  return scheduler;
}

describe('a leader that takes over before it has a configuration', () => {
  it('starts no run beyond the limit of failed runs, which it does not know yet', () => {
    const scheduler = takeOver(2);
    expect(scheduler.plan(10, 0).starts).toEqual([]);
    scheduler.onConfig(config());
    const plan = scheduler.plan(20, 0);
    expect(plan.starts).toEqual([]);
    expect(plan.states).toMatchObject([{ id: 'j', state: 'failed' }]);
  });

  it('starts what waits with its first configuration', () => {
    const scheduler = takeOver(1);
    scheduler.plan(10, 0);
    scheduler.onConfig(config());
    expect(scheduler.plan(20, 0).starts).toMatchObject([{ run: 3 }]);
  });
});
