import { describe, expect, it } from 'vitest';
import type { Job, StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const REPORT_INTERVAL_MS = 100;

/** A leader whose workers report at an interval, and answer orders only where a test says so. */
class Fleet {
  now = 0;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  /** Orders to start, in order. */
  readonly starts: StartOrder[] = [];
  stopCount = 0;

  constructor(...ids: string[]) {
    this.scheduler.onConfig(config());
    for (const id of ids) {
      this.scheduler.onWorkerRegistered(worker(id), 0);
    }
    this.run(REPORT_INTERVAL_MS);
  }

  add(item: Job): void {
    this.scheduler.onJob(item, [], this.now, 0);
  }

  /** Plans, and returns the orders to start; their leases are extended, and they are not answered. */
  plan(): StartOrder[] {
    const { starts, stops } = this.scheduler.plan(this.now, 0);
    for (const order of starts) {
      order.worker.extendLease(this.now, 1000);
    }
    this.starts.push(...starts);
    this.stopCount += stops.length;
    return starts;
  }

  answer(order: StartOrder, answer: 'silent' | 'started'): void {
    const { noAnswer, started } = START_ANSWER;
    this.scheduler.onStartAnswer(order, answer === 'started' ? started : noAnswer, this.now);
  }

  /** Lets time pass while the workers report `running` and answer no order. */
  run(durationMs: number, running: [task: string, run: number][] = []): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += REPORT_INTERVAL_MS;
      for (const known of [...this.scheduler.workers.values()]) {
        known.extendLease(this.now, 1000);
        const own = running.filter(([task]) => known.runs.has(task));
        this.scheduler.onReport(known, report(own), this.now - 5, this.now);
      }
      this.scheduler.tick(this.now, 0);
      this.scheduler.requestAssignment();
      for (const order of this.plan()) {
        this.answer(order, 'silent');
      }
    }
  }
}

function firstOf(orders: readonly StartOrder[]): StartOrder {
  const [order] = orders;
  if (order === undefined) {
    throw new Error('nothing was started');
  }
  return order;
}

describe('Orders without an answer', () => {
  it('do not keep a task for ever if orders to stop get no answer either', () => {
    const fleet = new Fleet('a');
    fleet.add(job('j', [step()]));
    fleet.answer(firstOf(fleet.plan()), 'silent');
    fleet.run(10_000);
    expect(fleet.starts).toHaveLength(1);
    expect(fleet.stopCount).toBeGreaterThan(10);
    fleet.run(6000);
    expect(fleet.starts.map(({ run }) => run)).toEqual([1, 2]);
  });

  it('to stop do not keep the room of a run that the worker no longer lists', () => {
    const fleet = new Fleet('a');
    fleet.add(job('j', [step()]));
    const order = firstOf(fleet.plan());
    fleet.answer(order, 'started');
    fleet.run(200, [['j.0.0.0', 1]]);
    fleet.scheduler.moveAway(order.task, 'test', fleet.now);
    fleet.run(300, [['j.0.0.0', 1]]);
    expect(fleet.starts).toHaveLength(1);
    fleet.run(300);
    expect(fleet.starts.map(({ run }) => run)).toEqual([1, 2]);
  });
});
