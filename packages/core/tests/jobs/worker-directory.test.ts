import { beforeEach, describe, expect, it } from 'vitest';
import type { Plan, Worker, WorkerInfo, WorkerReport } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const POOLS = [
  { enforcesCapacity: true, name: 'p', spare: false },
  { enforcesCapacity: false, name: 'q', spare: false },
];

class Harness {
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);

  constructor() {
    this.scheduler.onConfig({ ...config(), pools: POOLS });
  }

  get worker(): Worker {
    return this.find('a');
  }

  find(id: string): Worker {
    const found = this.scheduler.workers.get(id);
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  register(parts: Partial<WorkerInfo>): void {
    this.now += 10;
    this.scheduler.onWorkerRegistered(worker('a', parts), this.now);
  }

  report(parts: WorkerReport, askedAt = this.now + 5): void {
    this.now += 10;
    this.scheduler.onReport(this.worker, parts, askedAt, this.now);
  }

  submit(id: string, pool: string, count = 1): void {
    this.scheduler.onJob({ ...job(id, [step({ count })]), pool }, [], this.now, 0);
  }

  /** Adds a job of an earlier term whose task is assigned to the worker. */
  restore(id: string, run: number): void {
    const task = `${id}.0.0.0`;
    const record = { checkpoint: '', failures: 0, run, state: 'assigned', task, workerId: 'a' } as const;
    this.scheduler.onJob(job(id, [step()]), [record], this.now, 0);
  }

  plan(): Plan {
    this.now += 10;
    this.scheduler.requestAssignment();
    return this.scheduler.plan(this.now, this.now);
  }

  /** Starts the waiting tasks and returns their names. */
  start(): string[] {
    const { starts } = this.plan();
    for (const order of starts) {
      order.worker.extendLease(this.now, 1000);
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    return starts.map((order) => order.task.name);
  }
}

// Guards against a worker that has restarted with its clock set back and keeps what the entry of its earlier
// incarnation said: it is not used in its pool, or used although it drains.
describe('An entry that is older than the known incarnation', () => {
  let harness: Harness;

  beforeEach(() => {
    harness = new Harness();
    harness.register({ bornAt: 5000 });
    harness.report(report([], [], 5000));
  });

  it('gives the new incarnation its pool, labels, rack and zone as soon as a report shows it', () => {
    harness.register({ bornAt: 2000, labels: ['big'], pool: 'q', rack: 'r2', zone: 'z2' });
    harness.report(report([], [], 2000));
    harness.submit('i', 'p');
    harness.submit('j', 'q');
    expect(harness.start()).toEqual(['j.0.0.0']);
    expect(harness.worker.info).toMatchObject({ labels: ['big'], rack: 'r2', zone: 'z2' });
  });

  it('gives it its capacity in a pool that does not enforce it', () => {
    harness.register({ bornAt: 6000, pool: 'q' });
    harness.report(report([], [], 6000));
    harness.register({
      bornAt: 2000,
      capacity: { cpuMilli: 2000, gpus: 0, memoryMb: 1000 },
      pool: 'q',
    });
    harness.report(report([], [], 2000));
    harness.submit('j', 'q', 3);
    expect(harness.start()).toHaveLength(2);
  });

  it('keeps it closed while it drains', () => {
    harness.register({ bornAt: 2000, draining: true });
    harness.report(report([], [], 2000));
    harness.submit('j', 'p');
    expect(harness.start()).toEqual([]);
  });

  it('changes nothing but the address when a report shows the known incarnation', () => {
    harness.register({ address: 'a:2', bornAt: 2000, pool: 'q' });
    harness.report(report([], [], 5000));
    harness.submit('j', 'p');
    expect(harness.start()).toEqual(['j.0.0.0']);
    expect(harness.worker.info).toMatchObject({ address: 'a:2', bornAt: 5000, pool: 'p' });
  });

  it('is not settled by a report that was requested before it', () => {
    const askedAt = harness.now;
    harness.register({ bornAt: 2000, pool: 'q' });
    harness.report(report([], [], 5000), askedAt);
    harness.submit('j', 'q');
    expect(harness.start()).toEqual([]);
    harness.report(report([], [], 2000));
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  it('does not change the address when it is of the incarnation before', () => {
    harness.register({ address: 'a:2', bornAt: 6000 });
    harness.report(report([], [], 6000));
    harness.register({ address: 'a:1', bornAt: 5000 });
    expect(harness.worker.info.address).toBe('a:2');
    harness.submit('j', 'p');
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  it('applies to a third incarnation that started at the same time of day as the first', () => {
    harness.register({ bornAt: 2000 });
    harness.report(report([], [], 2000));
    harness.register({ bornAt: 5000, pool: 'q' });
    harness.report(report([], [], 5000));
    harness.submit('j', 'q');
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  it('keeps a worker that was removed from the registry and is listed again, after its runs are released', () => {
    harness.submit('j', 'p');
    harness.start();
    harness.scheduler.onWorkerDeregistered('a');
    harness.register({ bornAt: 2000 });
    harness.scheduler.onWorkerUnresponsive(harness.worker, harness.now);
    harness.now += 10_000;
    harness.scheduler.tick(harness.now, 0);
    harness.report(report([], [], 2000));
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  it('keeps the worker when an answer says late that the VM of the incarnation before was taken', () => {
    harness.register({ bornAt: 2000 });
    harness.scheduler.onWorkerEnded(harness.worker, harness.now);
    harness.report(report([], [], 2000));
    harness.submit('j', 'p');
    expect(harness.start()).toEqual(['j.0.0.0']);
  });
});

describe('A restart of a worker', () => {
  it('does not list a worker again that the registry has removed', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.report(report());
    harness.submit('j', 'p', 2);
    harness.start();
    harness.scheduler.onWorkerDeregistered('a');
    harness.report(report([], [], 2));
    expect(harness.start()).toEqual([]);
    expect(harness.scheduler.workers.has('a')).toBe(false);
    harness.register({ bornAt: 2 });
    harness.report(report([], [], 2));
    expect(harness.start()).toHaveLength(2);
  });

  // Guards against a pause of an incarnation that lasts for the next one, which refused nothing.
  it('ends the pause that followed from refusals of the incarnation before', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.report(report());
    harness.submit('j', 'p');
    const [order] = harness.plan().starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    harness.scheduler.onStartAnswer(order, START_ANSWER.refused, harness.now);
    harness.register({ bornAt: 2 });
    harness.report(report([], [], 2));
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  // Guards against a second run beside the first: an idle worker restarted unnoticed and was then given the run.
  it('keeps the runs that the new incarnation was given before it was known', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.report(report());
    harness.submit('j', 'p');
    harness.start();
    harness.report(report([['j.0.0.0', 1]], [], 2));
    expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
  });

  it('counts the end of a run that the new incarnation was given before it was known', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.report(report());
    harness.submit('j', 'p');
    harness.start();
    harness.report(report([], [[1, 'j.0.0.0', 1, 'done']], 2));
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.states.at(-1)).toMatchObject({ id: 'j', state: 'completed' });
  });

  // Guards against a second run beside the first: a late entry of an incarnation that no report has shown was taken for
  // that of a new one, since the clock was set back after it.
  it('keeps the runs of an incarnation that a report has shown when entries before its own are read', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1000 });
    harness.report(report([], [], 2000));
    harness.submit('j', 'p');
    harness.start();
    harness.report(report([['j.0.0.0', 1]], [], 2000));
    harness.register({ bornAt: 3000 });
    harness.report(report([['j.0.0.0', 1]], [], 2000));
    expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
    harness.register({ bornAt: 2000 });
    harness.register({ bornAt: 3000 });
    harness.report(report([], [], 3000));
    expect(harness.start()).toEqual(['j.0.0.0']);
  });

  it('leaves a run that no report has listed yet to the next report, when the entry is read first', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.report(report());
    harness.submit('j', 'p');
    harness.start();
    harness.register({ bornAt: 2 });
    harness.report(report([['j.0.0.0', 1]], [], 2));
    expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
    expect(harness.worker.runs.size).toBe(1);
  });

  it('leaves a run of an earlier term to the next report, when that term had met the incarnation first', () => {
    const harness = new Harness();
    harness.scheduler.onWorkerRegistered(worker('b'), harness.now);
    harness.scheduler.onReport(harness.find('b'), report(), harness.now, harness.now + 1);
    harness.register({ bornAt: 1 });
    harness.restore('j', 1);
    harness.register({ bornAt: 2 });
    expect(harness.plan().starts).toEqual([]);
    harness.report(report([['j.0.0.0', 1]], [], 2));
    expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
    expect(harness.worker.runs.size).toBe(1);
  });

  it('starts a task of an earlier term again when the next report does not list its run', () => {
    const harness = new Harness();
    harness.register({ bornAt: 1 });
    harness.restore('j', 1);
    harness.register({ bornAt: 2 });
    harness.report(report([], [], 2));
    expect(harness.start()).toEqual(['j.0.0.0']);
  });
});

// Guards against a second run of a task, or a lost one, while another writer's entry stands in place of its worker's.
describe('An entry that can not be used for a while', () => {
  it('keeps the runs of its worker, which starts no others until its entry is back', () => {
    const harness = new Harness();
    harness.register({});
    harness.report(report());
    harness.submit('i', 'p');
    expect(harness.start()).toEqual(['i.0.0.0']);
    harness.scheduler.onWorkerDeregistered('a');
    harness.submit('j', 'p');
    for (let count = 0; count < 50; count += 1) {
      harness.now += 100;
      harness.worker.extendLease(harness.now, 1000);
      harness.report(report([['i.0.0.0', 1]]));
      harness.scheduler.tick(harness.now, 0);
      expect(harness.start()).toEqual([]);
    }
    harness.register({});
    expect(harness.start()).toEqual(['j.0.0.0']);
    harness.report(report([], [[1, 'i.0.0.0', 1, 'done']]));
    expect(harness.scheduler.jobs.get('i')?.hasEnded).toBe(true);
  });
});

// Guards against a second run of a task: another writer's entry at the key of its worker was taken for a restart of it.
describe('An entry of a pool that is not configured, at the key of a worker', () => {
  let harness: Harness;

  beforeEach(() => {
    harness = new Harness();
    harness.register({ address: 'a:1', bornAt: 5000 });
    harness.report(report([], [], 5000));
    harness.submit('i', 'p');
    harness.start();
    harness.report(report([['i.0.0.0', 1]], [], 5000));
  });

  it.each([
    ['later', 9000],
    ['earlier', 2000],
    ['the same', 5000],
  ])(
    'with %s start time neither ends nor releases its runs, nor changes what is known of it',
    (_, bornAt) => {
      const before = harness.worker.info;
      harness.register({ address: 'x:9', bornAt, labels: ['odd'], pool: 'elsewhere', rack: 'r9' });
      harness.submit('j', 'p');
      for (let count = 0; count < 10; count += 1) {
        harness.now += 100;
        harness.worker.extendLease(harness.now, 1000);
        harness.report(report([['i.0.0.0', 1]], [], 5000));
        harness.scheduler.tick(harness.now, 0);
        expect(harness.plan()).toMatchObject({ starts: [], stops: [] });
      }
      expect(harness.worker.info).toEqual(before);
      harness.register({ address: 'a:1', bornAt: 5000 });
      expect(harness.start()).toEqual(['j.0.0.0']);
      expect(harness.worker.runs.size).toBe(2);
    },
  );

  it('does not hide a restart that a report shows meanwhile', () => {
    harness.register({ address: 'x:9', bornAt: 9000, pool: 'elsewhere' });
    harness.report(report([], [], 6000));
    harness.register({ address: 'a:1', bornAt: 6000 });
    harness.report(report([], [], 6000));
    expect(harness.start()).toEqual(['i.0.0.0']);
  });

  it('is not needed for a pool that is dropped from the configuration: a restart is still seen', () => {
    harness.scheduler.onConfig({ ...config(), pools: POOLS.filter(({ name }) => name !== 'p') });
    harness.register({ address: 'a:1', bornAt: 9000 });
    expect(harness.worker.info.bornAt).toBe(9000);
  });

  it('is one of the worker itself where the pool is configured', () => {
    harness.register({ bornAt: 9000, pool: 'q' });
    expect(harness.worker.info).toMatchObject({ bornAt: 9000, pool: 'q' });
  });
});
