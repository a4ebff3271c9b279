import { describe, expect, it } from 'vitest';
import type { Job, StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

/** Longest time that a task may wait although its pool has room, in ms. */
const MAX_WAIT_MS = 2000;

class Harness {
  #endNumber = 0;
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);

  constructor(...ids: string[]) {
    const queues = config().queues.map((queue) => ({ ...queue, maxAttempts: 50 }));
    this.scheduler.onConfig({ ...config(), queues });
    for (const id of ids) {
      this.scheduler.onWorkerRegistered(worker(id), this.now);
      this.report(id, report());
    }
  }

  add(item: Job): void {
    this.scheduler.onJob(item, [], this.now, 0);
  }

  /** Starts what waits, and returns the orders. */
  start(): StartOrder[] {
    this.now += 10;
    this.scheduler.requestAssignment();
    const { starts } = this.scheduler.plan(this.now, this.now);
    for (const order of starts) {
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    return starts;
  }

  /** Lets the runs that were started fail. */
  fail(orders: readonly StartOrder[]): void {
    for (const { run, task, worker: target } of orders) {
      this.#endNumber += 1;
      const others = [...target.runs.values()].filter((other) => other !== task);
      const running = others.map((other): [string, number] => [other.name, other.run]);
      this.report(target.info.id, report(running, [[this.#endNumber, task.name, run, 'failed']]));
    }
  }

  /** Lets all runs fail until nothing starts any more. */
  failAll(): void {
    for (let orders = this.start(); orders.length > 0; orders = this.start()) {
      this.fail(orders);
    }
  }

  report(id: string, parts: ReturnType<typeof report>): void {
    const found = this.scheduler.workers.get(id);
    this.now += 10;
    if (found !== undefined) {
      this.scheduler.onReport(found, parts, this.now - 5, this.now);
    }
  }
}

describe('quarantine of workers', () => {
  it('starts nothing on a worker on which the runs of several jobs failed while others are left', () => {
    const harness = new Harness('a', 'b', 'c');
    const failing = harness.scheduler.workers.get('a');
    for (let index = 0; index < 3; index += 1) {
      harness.add(job(`j${index}`, [step()]));
    }
    const orders = harness.start();
    expect(new Set(orders.map((order) => order.worker))).toEqual(new Set([failing]));
    harness.fail(orders);
    const again = harness.start();
    expect(again).toHaveLength(3);
    expect(again.map((order) => order.worker)).not.toContain(failing);
    harness.now += SCHEDULER_SETTINGS.setAsideMs - 100;
    harness.add(job('later', [step({ count: 12 })]));
    expect(harness.start().map((order) => order.worker)).not.toContain(failing);
  });

  it.each([['one worker'], ['two workers', 'b'], ['three workers', 'b', 'c']])(
    'leaves no pool without a worker for longer than a task may wait: %s',
    (_, ...others) => {
      const harness = new Harness('a', ...others);
      for (let index = 0; index < 4; index += 1) {
        harness.add(job(`j${index}`, [step()]));
      }
      harness.failAll();
      harness.now += MAX_WAIT_MS;
      expect(harness.start()).not.toEqual([]);
    },
  );

  it('leaves half of the workers of a pool in use when the runs on all of them fail', () => {
    const harness = new Harness('a', 'b', 'c', 'd');
    for (let index = 0; index < 16; index += 1) {
      harness.add(job(`j${index}`, [step()]));
    }
    harness.failAll();
    harness.now += MAX_WAIT_MS;
    expect(new Set(harness.start().map((order) => order.worker)).size).toBeGreaterThanOrEqual(2);
  });

  it('starts tasks of other jobs on a worker on which only the runs of a single job failed', () => {
    const harness = new Harness('a', 'b', 'c');
    harness.add(job('broken', [step({ count: 3 })]));
    const orders = harness.start();
    harness.fail(orders);
    harness.add(job('sound', [step({ count: 9 })]));
    const targets = harness.start().map((order) => order.worker.info.id);
    expect(new Set(targets)).toEqual(new Set(['a', 'b', 'c']));
  });

  it.each([
    ['the label', { labels: ['big'] }, { requiredLabel: 'big' }],
    [
      'the accelerators',
      { capacity: { cpuMilli: 4000, gpus: 3, memoryMb: 1000 } },
      { demand: { cpuMilli: 100, gpus: 1, memoryMb: 1 } },
    ],
  ])(
    'keeps no task waiting for the end of a quarantine of the only worker with %s that it needs',
    (_, parts, spec) => {
      const harness = new Harness('b', 'c', 'd');
      harness.scheduler.onWorkerRegistered(worker('a', parts), harness.now);
      harness.report('a', report());
      const only = harness.scheduler.workers.get('a');
      for (let index = 0; index < 3; index += 1) {
        harness.add(job(`j${index}`, [step(spec)]));
      }
      harness.failAll();
      harness.now += MAX_WAIT_MS;
      expect(harness.start().map((order) => order.worker)).toContain(only);
    },
  );
});
