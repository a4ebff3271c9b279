import { describe, expect, it } from 'vitest';
import { Scheduler } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const MAX_RECORD_BYTES = 1000;

// Guards against a record that the store never takes, behind which no other record of the term is stored.
describe('a checkpoint that is larger than the store takes', () => {
  it.each([
    ['is stored', 500, 'x'.repeat(500)],
    ['is left out of the record', 2000, ''],
  ])('%s at %i bytes', (_, bytes, stored) => {
    const scheduler = new Scheduler(
      { ...SCHEDULER_SETTINGS, maxRecordBytes: MAX_RECORD_BYTES },
      () => undefined,
    );
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a'), 0);
    const [known] = scheduler.workers.values();
    if (known === undefined) {
      throw new Error('the worker is not known');
    }
    scheduler.onReport(known, report([]), 1, 2);
    scheduler.onJob(job('j', [step()]), [], 10, 0);
    const [order] = scheduler.plan(20, 0).starts;
    expect(order).toBeDefined();
    const checkpoint = 'x'.repeat(bytes);
    const end = { checkpoint, end: 'stopped', number: 1, run: 1, task: 'j.0.0.0' } as const;
    scheduler.onReport(known, { ...report([]), ended: [end] }, 30, 40);
    const values = scheduler.plan(50, 0).records.map(({ value }) => value ?? '');
    expect(values.every((value) => value.length <= MAX_RECORD_BYTES)).toBe(true);
    expect(values.at(-1)).toContain(`"${stored}"`);
  });
});
