import type { WaitingReport } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import { Scheduler } from '@sequoiaquay/core/jobs';
import { describe, expect, it } from 'vitest';
import { config, job, SCHEDULER_SETTINGS, step, worker } from '../../core/tests/jobs/support/jobs';
import { PoolReports } from '../src/pool-reports';
import { createRecordingLog } from './support/recording-log';

/** Timers that run only when a test calls `advance`. */
class ManualTimers implements Pick<TimerService, 'every' | 'mono'> {
  #intervals: { callback: () => void; intervalMs: number }[] = [];
  #now = 0;

  advance(durationMs: number): void {
    const until = this.#now + durationMs;
    while (this.#now < until) {
      this.#now += 100;
      for (const { callback, intervalMs } of this.#intervals) {
        if (this.#now % intervalMs === 0) {
          callback();
        }
      }
    }
  }

  every(intervalMs: number, callback: () => void): void {
    this.#intervals.push({ callback, intervalMs });
  }

  mono(): number {
    return this.#now;
  }
}

describe('PoolReports', () => {
  it('logs once a second why a task waits with room for it, and counts such tasks', () => {
    const lines: Record<string, unknown>[] = [];
    const timers = new ManualTimers();
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('w1'), 0);
    scheduler.onJob(job('00000000000000a1', [step({ count: 2 })]), [], 0, 0);
    const reports = new PoolReports(scheduler, timers as unknown as TimerService, createRecordingLog(lines));
    reports.run(new AbortController().signal);
    timers.advance(3000);
    expect(lines).toEqual([]);
    expect(reports.waitingWithRoom()).toEqual(new Map());
    timers.advance(2000);
    const expected: Partial<WaitingReport> = {
      byReason: { 'not-asked': 1 },
      count: 2,
      pool: 'p',
      task: '00000000000000a1.0.0.0',
    };
    expect(lines).toMatchObject([
      { ...expected, msg: 'task-waits', waitedMs: 3000 },
      { ...expected, msg: 'task-waits', waitedMs: 4000 },
    ]);
    expect(reports.waitingWithRoom()).toEqual(new Map([['p', 2]]));
    scheduler.onCancel('00000000000000a1', timers.mono());
    timers.advance(1000);
    expect(lines).toHaveLength(2);
    expect(reports.waitingWithRoom()).toEqual(new Map());
  });
});
