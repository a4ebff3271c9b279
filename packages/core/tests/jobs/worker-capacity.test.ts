import { describe, expect, it } from 'vitest';
import type { Demand, Plan, StepSpec, Worker, WorkerReport } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

class Harness {
  readonly decisions: string[] = [];
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, (decision) => this.decisions.push(decision));

  constructor() {
    const cfg = config();
    this.scheduler.onConfig({
      ...cfg,
      pools: cfg.pools.map((pool) => ({ ...pool, enforcesCapacity: false })),
    });
    this.resize({});
    this.report(report());
  }

  get worker(): Worker {
    const found = this.scheduler.workers.get('a');
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  resize(capacity: Partial<Demand>, bornAt = 1): void {
    const entry = worker('a', { bornAt });
    this.scheduler.onWorkerRegistered({ ...entry, capacity: { ...entry.capacity, ...capacity } }, this.now);
  }

  report(parts: WorkerReport): void {
    this.now += 10;
    this.scheduler.onReport(this.worker, parts, this.now - 5, this.now);
  }

  submit(id: string, parts: Partial<StepSpec>): void {
    this.scheduler.onJob(job(id, [step(parts)]), [], this.now, 0);
  }

  plan(): Plan {
    this.now += 10;
    this.scheduler.tick(this.now, this.now);
    this.scheduler.requestAssignment();
    const plan = this.scheduler.plan(this.now, this.now);
    for (const order of plan.starts) {
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    return plan;
  }
}

// Guards against starts beyond the capacity of a worker that becomes smaller and larger while it runs, and against
// runs that are stopped and capacity that stays idle because of it.
describe('Capacity of a worker', () => {
  it('starts nothing on a worker whose runs exceed its capacity, stops none, and uses it again as it grows', () => {
    const harness = new Harness();
    harness.submit('j', { count: 6 });
    expect(harness.plan().starts).toHaveLength(4);
    harness.resize({ cpuMilli: 2000 });
    harness.submit('fill', { demand: { cpuMilli: 100, gpus: 0, memoryMb: 10 }, fillsIdle: true });
    harness.report(
      report(
        [0, 1, 2].map((index) => [`j.0.0.${index}`, 1]),
        [[1, 'j.0.0.3', 1, 'done']],
      ),
    );
    expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
    harness.resize({ cpuMilli: 5000 });
    const names = harness.plan().starts.map((order) => order.task.name);
    expect(names.sort()).toEqual(['fill.0.0.0', 'j.0.0.4', 'j.0.0.5']);
  });

  it('counts a run that is being stopped until the worker no longer lists it', () => {
    const harness = new Harness();
    harness.submit('j', { count: 4 });
    harness.plan();
    harness.scheduler.onCancel('j', harness.now);
    harness.submit('k', { count: 4 });
    const { starts, stops } = harness.plan();
    expect([starts.length, stops.length]).toEqual([0, 4]);
    for (const order of stops) {
      harness.scheduler.onStopAcknowledged(order, harness.now);
    }
    harness.report(report([['j.0.0.0', 1]]));
    expect(harness.plan().starts).toHaveLength(3);
  });

  it('logs each change of the capacity once', () => {
    const harness = new Harness();
    harness.resize({});
    harness.resize({ cpuMilli: 2000 });
    harness.resize({ cpuMilli: 2000 });
    harness.resize({ memoryMb: 10 });
    expect(harness.decisions.filter((decision) => decision === 'worker-resized')).toHaveLength(2);
  });

  it.each([
    ['memory', { memoryMb: 250 }],
    ['no memory', { memoryMb: 0 }],
    ['negative memory', { memoryMb: -1 }],
  ])('starts best-effort tasks only as far as the memory allows: %s', (_name, capacity) => {
    const harness = new Harness();
    harness.resize(capacity);
    harness.submit('fill', {
      count: 5,
      demand: { cpuMilli: 9000, gpus: 0, memoryMb: 100 },
      fillsIdle: true,
    });
    expect(harness.plan().starts).toHaveLength(Math.max(0, Math.floor(capacity.memoryMb / 100)));
  });

  it('starts nothing on a new incarnation, known from its report, until it has stated its capacity', () => {
    const harness = new Harness();
    harness.submit('j', { count: 4 });
    harness.report(report([], [], 2));
    expect(harness.plan().starts).toEqual([]);
    harness.resize({ cpuMilli: 2000 }, 2);
    expect(harness.plan().starts).toHaveLength(2);
  });
});

// Guards against members of a gang that wait in vain for one that did not start.
describe('Capacity of the workers of a gang', () => {
  it('stops the other members of a gang when an order for one of them is refused', () => {
    const harness = new Harness();
    harness.scheduler.onJob(job('g', [step({ count: 3, gang: true })]), [], harness.now, 0);
    const { starts } = harness.scheduler.plan(harness.now, harness.now);
    starts.forEach((order, index) => {
      const answer = index === 1 ? START_ANSWER.noCapacity : START_ANSWER.started;
      harness.scheduler.onStartAnswer(order, answer, harness.now);
    });
    const { stops } = harness.plan();
    expect(stops.map((order) => order.task)).toEqual(['g.0.0.0', 'g.0.0.2']);
    for (const order of stops) {
      harness.scheduler.onStopAcknowledged(order, harness.now);
    }
    harness.now += 1000;
    harness.report(report());
    expect(harness.plan().starts.map((order) => order.run)).toEqual([2, 2, 2]);
  });

  // Guards against a worker that has no room for a large task, since sums of fractions left something reserved.
  it('has all of its capacity free again when runs with fractional demands have ended', () => {
    const harness = new Harness();
    const fractions = [38.7, 296.4, 540.9, 796.4, 854.7];
    fractions.forEach((cpuMilli, index) => {
      harness.submit(`f${index}`, { demand: { cpuMilli, gpus: 0, memoryMb: 1 } });
    });
    const ids = harness.plan().starts.map(({ task }) => task.name);
    harness.report(
      report(
        [],
        fractions.map((_, index) => [index + 1, `f${index}.0.0.0`, 1, 'done']),
      ),
    );
    harness.submit('large', { demand: { cpuMilli: 4000, gpus: 0, memoryMb: 1 } });
    expect(ids).toHaveLength(fractions.length);
    expect(harness.plan().starts).toHaveLength(1);
  });
});
