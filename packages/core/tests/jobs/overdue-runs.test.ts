import { describe, expect, it } from 'vitest';
import type { Plan, StartOrder } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const INTERVAL_MS = 100;

interface Line {
  data: Record<string, unknown>;
  decision: string;
}

/** A leader with one worker, which reports at an interval and lists no runs. */
class Leader {
  readonly lines: Line[] = [];
  now = 0;
  readonly plans: Plan[] = [];
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, (decision, data) => {
    this.lines.push({ data, decision });
  });

  constructor() {
    this.scheduler.onConfig(config());
    this.scheduler.onWorkerRegistered(worker('a'), 0);
    this.run(INTERVAL_MS, 'reports');
    this.scheduler.onJob(job('j', [step()]), [], this.now, 0);
    this.scheduler.requestAssignment();
  }

  /** Lets time pass; orders to start get no outcome, orders to stop are acknowledged if the worker reports. */
  run(durationMs: number, state: 'reports' | 'silent'): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += INTERVAL_MS;
      for (const known of [...this.scheduler.workers.values()]) {
        if (state === 'reports') {
          this.scheduler.onReport(known, report(), this.now - 5, this.now);
        } else {
          this.scheduler.onWorkerUnresponsive(known, this.now);
        }
      }
      this.scheduler.tick(this.now, 0);
      this.scheduler.requestAssignment();
      const plan = this.scheduler.plan(this.now, 0);
      this.plans.push(plan);
      for (const stop of state === 'reports' ? plan.stops : []) {
        this.scheduler.onStopAcknowledged(stop, this.now);
      }
    }
  }

  get starts(): StartOrder[] {
    return this.plans.flatMap(({ starts }) => starts);
  }

  overdue(): unknown[] {
    return this.lines.filter(({ decision }) => decision === 'run-overdue').map(({ data }) => data);
  }
}

describe('Overdue runs', () => {
  it('are ordered again if their order to start never has an outcome', () => {
    const leader = new Leader();
    leader.run(9000, 'reports');
    expect(leader.starts).toHaveLength(1);
    leader.run(2500, 'reports');
    const [first, second] = leader.starts;
    expect([first?.run, second?.run]).toEqual([1, 2]);
    expect(first !== undefined && leader.scheduler.isStartPending(first)).toBe(false);
  });

  it('are logged with their phase, worker and reason, once in three seconds', () => {
    const leader = new Leader();
    leader.run(9000, 'reports');
    expect(leader.overdue()).toHaveLength(2);
    expect(leader.overdue()[0]).toEqual({
      overdue: 1,
      phase: 'starting',
      phaseMs: 3100,
      reason: 'order-not-answered',
      run: 1,
      task: 'j.0.0.0',
      worker: 'a',
    });
  });

  it('are logged if their worker is silent before its lease has ended', () => {
    const leader = new Leader();
    leader.run(INTERVAL_MS, 'reports');
    const [order] = leader.starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    order.worker.extendLease(leader.now, 4200);
    leader.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, leader.now);
    leader.run(4000, 'silent');
    expect(leader.overdue()).toMatchObject([{ phase: 'unconfirmed', reason: 'worker-silent' }]);
  });
});
