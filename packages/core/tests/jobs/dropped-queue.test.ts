import { describe, expect, it } from 'vitest';
import type { QueueConfig } from '../../src/jobs';
import { RUN_END, Scheduler } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

function createScheduler(asked: QueueConfig[], advice: QueueConfig['advice']): Scheduler {
  const scheduler = new Scheduler(
    SCHEDULER_SETTINGS,
    () => undefined,
    (queue) => {
      asked.push(queue);
      return new Set();
    },
  );
  const cfg = config();
  scheduler.onConfig({ ...cfg, queues: cfg.queues.map((queue) => ({ ...queue, advice })) });
  scheduler.onWorkerRegistered(worker('a'), 0);
  for (const item of scheduler.workers.values()) {
    scheduler.onReport(item, report(), 0, 0);
  }
  scheduler.onJob(job('j', [step()]), [], 0, 0);
  return scheduler;
}

function failRun(scheduler: Scheduler, run: number): void {
  scheduler.plan(run, 0);
  for (const item of scheduler.workers.values()) {
    scheduler.onReport(item, report([], [[run, 'j.0.0.0', run, RUN_END.failed]]), run, run);
  }
}

// Guards against jobs that are treated as if their queue had no limits, no priority and no advice, since it was dropped
// from the configuration after they were accepted.
describe('a job of a queue that is no longer configured', () => {
  it('is given up after as many failed runs as its queue allowed', () => {
    const scheduler = createScheduler([], undefined);
    failRun(scheduler, 1);
    scheduler.onConfig({ ...config(), queues: [] });
    scheduler.onConfig({ ...config(), queues: [] });
    failRun(scheduler, 2);
    expect(scheduler.plan(3, 0).starts).toEqual([]);
    expect(scheduler.jobs.get('j')?.hasEnded).toBe(true);
  });

  it('starts only on workers that the advice allows', () => {
    const asked: QueueConfig[] = [];
    const scheduler = createScheduler(asked, { decisionMs: 1, perWorkerMs: 1, validityMs: 1000 });
    scheduler.onConfig({ ...config(), queues: [] });
    expect(scheduler.plan(1, 0).starts).toEqual([]);
    expect(asked.map(({ name }) => name)).toEqual(['quick']);
  });
});
