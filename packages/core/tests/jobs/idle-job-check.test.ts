import { describe, expect, it } from 'vitest';
import { IdleJobCheck } from './support/idle-job-check';

describe('check of the simulated cluster for jobs that wait', () => {
  it('reports a job that has had nothing running for over 3 s after 4 calm seconds', () => {
    const check = new IdleJobCheck();
    check.onDisturbance(1000);
    expect(check.check(['j1', 'j2'], 2000)).toEqual([]);
    expect(check.check(['j1'], 5000)).toEqual([]);
    expect(check.check(['j1', 'j2'], 8000)).toEqual([]);
    expect(check.check(['j1', 'j2'], 8020)).toEqual(['j1 could run and has had nothing running for 6020 ms']);
  });
});
