import { describe, expect, it } from 'vitest';
import type { Plan, Worker, WorkerReport } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

class Harness {
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);

  constructor() {
    this.scheduler.onConfig(config());
    this.scheduler.onWorkerRegistered(worker('a'), this.now);
    this.report(report());
  }

  get worker(): Worker {
    const found = this.scheduler.workers.get('a');
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  report(parts: WorkerReport): void {
    this.now += 10;
    this.scheduler.onReport(this.worker, parts, this.now - 5, this.now);
  }

  plan(): Plan {
    this.now += 10;
    this.scheduler.requestAssignment();
    const plan = this.scheduler.plan(this.now, this.now);
    for (const order of plan.starts) {
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    return plan;
  }

  /** Acknowledges the orders to stop of a plan. */
  acknowledge({ stops }: Plan): void {
    for (const order of stops) {
      this.scheduler.onStopAcknowledged(order, this.now);
    }
  }
}

describe('Reconciliation with a report', () => {
  // Guards against a task that runs again after its end, which its worker had no room to list.
  it('releases no run while the worker may have more ends than it listed', () => {
    const harness = new Harness();
    harness.scheduler.onJob(job('j', [step({ count: 2 })]), [], harness.now, 0);
    harness.plan();
    harness.report({ ...report([], [[1, 'j.0.0.0', 1, 'done']]), hasMoreEnds: true });
    expect(harness.plan().starts).toEqual([]);
    harness.report(report([], [[2, 'j.0.0.1', 1, 'done']]));
    expect(harness.plan().states.at(-1)).toMatchObject({ id: 'j', state: 'completed' });
  });

  // Guards against a worker that stays closed: it acknowledged an order to stop, and its run went on.
  it('orders the stop of a run that is not assigned again when the worker lists it long after its answer', () => {
    const harness = new Harness();
    harness.report(report([['cancelled.0.0.0', 1]]));
    harness.acknowledge(harness.plan());
    harness.report(report([['cancelled.0.0.0', 1]]));
    expect(harness.plan().stops).toEqual([]);
    harness.now += 5000;
    harness.report(report([['cancelled.0.0.0', 1]]));
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'cancelled.0.0.0' }]);
  });

  it('orders the stop of an assigned run again when the worker lists it long after its answer', () => {
    const harness = new Harness();
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.plan();
    harness.scheduler.onCancel('j', harness.now);
    harness.acknowledge(harness.plan());
    harness.report(report([['j.0.0.0', 1]]));
    expect(harness.plan().stops).toEqual([]);
    harness.now += 5000;
    harness.report(report([['j.0.0.0', 1]]));
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
  });
});
