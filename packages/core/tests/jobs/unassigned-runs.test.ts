import { describe, expect, it } from 'vitest';
import type { Plan, Worker, WorkerReport } from '../../src/jobs';
import { Scheduler } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

class Harness {
  readonly decisions: string[] = [];
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, (decision) => this.decisions.push(decision));

  constructor() {
    this.scheduler.onConfig(config());
    this.scheduler.onWorkerRegistered(worker('a'), this.now);
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
    return this.scheduler.plan(this.now, this.now);
  }
}

// Guards against starts beyond the capacity of a worker that still runs what the leader did not assign, for example
// the tasks of a job that was cancelled before a change of leader.
describe('Runs that are not assigned', () => {
  it('starts nothing on a worker until the runs that are not assigned have ended', () => {
    const harness = new Harness();
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.report(report([['cancelled.0.0.0', 1]]));
    expect(harness.plan().starts).toEqual([]);
    harness.report(report([], [[1, 'cancelled.0.0.0', 1, 'stopped']]));
    expect(harness.plan().starts.map((order) => order.task.name)).toEqual(['j.0.0.0']);
  });

  it('starts nothing beside an earlier run of a task that is not assigned', () => {
    const harness = new Harness();
    harness.scheduler.onJob(
      job('j', [step({ count: 2 })]),
      [{ checkpoint: '', failures: 0, run: 2, state: 'waiting', task: 'j.0.0.0', workerId: '' }],
      harness.now,
      0,
    );
    harness.report(report([['j.0.0.0', 1]]));
    expect(harness.plan().starts).toEqual([]);
  });

  it('orders the stop of such a run in each report until the worker has acknowledged it, and logs it once', () => {
    const harness = new Harness();
    harness.report(report([['cancelled.0.0.0', 1]]));
    const [order] = harness.plan().stops;
    expect(order).toMatchObject({ run: 1, task: 'cancelled.0.0.0' });
    harness.report(report([['cancelled.0.0.0', 1]]));
    expect(harness.plan().stops).toHaveLength(1);
    if (order !== undefined) {
      harness.scheduler.onStopAcknowledged(order, harness.now);
    }
    harness.report(report([['cancelled.0.0.0', 1]]));
    expect(harness.plan().stops).toEqual([]);
    expect(harness.decisions.filter((decision) => decision === 'run-stop-ordered')).toHaveLength(1);
  });

  it('starts tasks at once on a new incarnation of the worker', () => {
    const harness = new Harness();
    harness.report(report([['cancelled.0.0.0', 1]]));
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 2 }), harness.now);
    harness.report(report([], [], 2));
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    expect(harness.plan().starts).toHaveLength(1);
  });
});
