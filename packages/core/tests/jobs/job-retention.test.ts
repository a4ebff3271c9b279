import { describe, expect, it } from 'vitest';
import { JobRetention, JobTable } from '../../src/jobs';
import { job, step } from './support/jobs';

describe('JobRetention', () => {
  it('keeps the state of an ended job for the retention time, and of a running job indefinitely', () => {
    const jobs = new JobTable();
    jobs.apply({ job: job('ended', [step()]), kind: 'submit' });
    jobs.apply({ job: job('running', [step()]), kind: 'submit' });
    jobs.apply({ id: 'ended', kind: 'state', state: 'completed' });
    const retention = new JobRetention(1000);
    expect(retention.collectExpired(jobs, 0)).toEqual([]);
    expect(retention.collectExpired(jobs, 1000)).toEqual([]);
    expect(retention.collectExpired(jobs, 2000)).toEqual(['ended']);
  });
});
