import { describe, expect, it } from 'vitest';
import { JobRetention, JobTable, WITHDRAWAL_KEPT_MS } from '../../src/jobs';
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
    expect(retention.collectExpired(jobs, 2000)).toEqual([{ id: 'ended', kind: 'forget' }]);
  });

  it('removes a state that was stored after its job was forgotten, and nothing else of that job', () => {
    const jobs = new JobTable();
    jobs.apply({ id: 'forgotten', kind: 'state', state: 'running' });
    const retention = new JobRetention(1000);
    expect(retention.collectExpired(jobs, 0)).toEqual([]);
    expect(retention.collectExpired(jobs, 2000)).toEqual([{ id: 'forgotten', kind: 'delete', prefix: 'r' }]);
  });

  it('counts the retention time from the end of a job whose state was read before its specification', () => {
    const jobs = new JobTable();
    jobs.apply({ id: 'late', kind: 'state', state: 'running' });
    const retention = new JobRetention(1000);
    expect(retention.collectExpired(jobs, 0)).toEqual([]);
    jobs.apply({ job: job('late', [step()]), kind: 'submit' });
    expect(retention.collectExpired(jobs, 1000)).toEqual([]);
    jobs.apply({ id: 'late', kind: 'state', state: 'completed' });
    expect(retention.collectExpired(jobs, 2000)).toEqual([]);
    expect(retention.collectExpired(jobs, 4000)).toEqual([{ id: 'late', kind: 'forget' }]);
  });

  it('forgets a cancelled job and a completed one whose specifications are deleted', () => {
    const jobs = new JobTable();
    jobs.apply({ id: 'cancelled', kind: 'cancel' });
    jobs.apply({ id: 'completed', kind: 'state', state: 'completed' });
    const retention = new JobRetention(1000);
    expect(retention.collectExpired(jobs, 0)).toEqual([]);
    expect(retention.collectExpired(jobs, 2000)).toEqual([
      { id: 'cancelled', kind: 'forget' },
      { id: 'completed', kind: 'forget' },
    ]);
  });

  // Guards against cancellations of ids that no job ever has, kept for ever or dropped before a late write of the job.
  it('keeps the withdrawal of an unknown id for its own time, and as long as others once its job has come', () => {
    const jobs = new JobTable();
    jobs.apply({ id: 'unknown', kind: 'withdraw', workspace: undefined });
    jobs.apply({ id: 'late', kind: 'withdraw', workspace: undefined });
    const retention = new JobRetention(2 * WITHDRAWAL_KEPT_MS);
    expect(retention.collectExpired(jobs, 0)).toEqual([]);
    jobs.apply({ job: job('late', [step()]), kind: 'submit' });
    expect(retention.collectExpired(jobs, WITHDRAWAL_KEPT_MS)).toEqual([]);
    expect(retention.collectExpired(jobs, WITHDRAWAL_KEPT_MS + 1)).toEqual([
      { id: 'unknown', kind: 'forget' },
    ]);
    expect(retention.collectExpired(jobs, 4 * WITHDRAWAL_KEPT_MS)).toContainEqual({
      id: 'late',
      kind: 'forget',
    });
  });
});
