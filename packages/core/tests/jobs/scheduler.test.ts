import { describe, expect, it } from 'vitest';
import type { Plan, StartOrder, TaskRecord, Worker } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { canDisrupt } from '../../src/maintenance/disruption-budget';
import { config, job, report, step, worker } from './support/jobs';

const SETTINGS = {
  earlierLeasesEndAt: 10_100,
  refusedPauseMs: 1000,
  roomPauseMs: 150,
  setAsideAfter: 3,
  setAsideMs: 4000,
};

class Harness {
  now = 100;
  readonly scheduler = new Scheduler(SETTINGS, () => undefined);

  constructor(...ids: string[]) {
    this.scheduler.onConfig(config());
    for (const id of ids) {
      this.scheduler.onWorker(worker(id), this.now);
      this.report(id);
    }
  }

  worker(id: string): Worker {
    const found = this.scheduler.workers.get(id);
    if (found === undefined) {
      throw new Error(`no worker ${id}`);
    }
    return found;
  }

  report(id: string, parts = report()): void {
    this.now += 10;
    this.scheduler.onReport(this.worker(id), parts, this.now - 5, this.now);
  }

  plan(): Plan {
    this.now += 10;
    return this.scheduler.plan(this.now, this.now);
  }

  start(): StartOrder[] {
    const { starts } = this.plan();
    for (const order of starts) {
      order.worker.extendLease(this.now, 1000);
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    return starts;
  }
}

function names(orders: readonly StartOrder[]): string[] {
  return orders.map((order) => order.task.name);
}

describe('Scheduler', () => {
  it('starts a step only after the steps before it are done', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step(), step({ after: [0] })]), [], harness.now, 0);
    expect(names(harness.start())).toEqual(['j.0.0.0']);
    harness.report('a', report([['j.0.0.0', 1]]));
    expect(names(harness.start())).toEqual([]);
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'done']]));
    expect(names(harness.start())).toEqual(['j.0.1.0']);
  });

  it('never assigns more than the room of a worker', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step({ count: 6 })]), [], harness.now, 0);
    expect(harness.start()).toHaveLength(4);
  });

  it('tells callers that a job is completed only with the record of the last end', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step({ count: 2 })]), [], harness.now, 0);
    harness.start();
    harness.report('a', report([['j.0.0.1', 1]], [[1, 'j.0.0.0', 1, 'done']]));
    expect(harness.plan().states.map((item) => item.state)).not.toContain('completed');
    harness.report('a', report([], [[2, 'j.0.0.1', 1, 'done']]));
    const plan = harness.plan();
    expect(plan.states).toEqual([{ id: 'j', kind: 'state', state: 'completed' }]);
    expect(plan.ends[0]?.number).toBe(2);
  });

  it('does not run a task again while an unanswered order may still be carried out', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.plan().starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    const { id } = order.worker.info;
    order.worker.extendLease(harness.now, 1000);
    harness.scheduler.onStartAnswer(order, START_ANSWER.silent, harness.now);
    harness.report(id);
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
    harness.scheduler.onStopAnswer({ run: 1, task: 'j.0.0.0', worker: order.worker }, harness.now);
    harness.report(id);
    expect(harness.plan().starts).toMatchObject([{ run: 2 }]);
  });

  it('waits for the end of the lease before it runs the tasks of a silent worker elsewhere', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.start();
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    harness.scheduler.onSilence(order.worker);
    harness.now = order.worker.leaseEndsAt - 20;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.now = order.worker.leaseEndsAt + 1;
    harness.scheduler.tick(harness.now, 0);
    const [second] = harness.plan().starts;
    expect(second?.worker).not.toBe(order.worker);
    expect(second?.run).toBe(2);
  });

  it('runs the tasks of a restarted worker again at once', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.report('a', report([['j.0.0.0', 1]]));
    harness.report('a', report([], [], 2));
    expect(harness.plan().starts).toMatchObject([{ run: 2 }]);
  });

  it('gives up a job after the allowed number of failed runs', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [first] = harness.start();
    harness.report(first?.worker.info.id ?? '', report([], [[1, 'j.0.0.0', 1, 'failed']]));
    const [second] = harness.start();
    expect(second?.worker).not.toBe(first?.worker);
    harness.report(second?.worker.info.id ?? '', report([], [[1, 'j.0.0.0', 2, 'failed']]));
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.states.at(-1)).toMatchObject({ id: 'j', state: 'failed' });
  });

  it('stops the runs of a cancelled job, and the runs that nobody assigned', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.scheduler.onCancel('j', harness.now);
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
    harness.report('a', report([['other.0.0.0', 3]], [[1, 'j.0.0.0', 1, 'stopped']]));
    const plan = harness.plan();
    expect(plan.stops).toMatchObject([{ run: 3, task: 'other.0.0.0' }]);
    expect(plan.records).toContainEqual({ key: 't.j.0.0.0', value: undefined });
  });

  it('does not run a cancelled job again when a configuration arrives while its runs are stopped', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step({ count: 6 })]), [], harness.now, 0);
    harness.start();
    harness.scheduler.onCancel('j', harness.now);
    harness.scheduler.onConfig(config());
    const ends = [0, 1, 2, 3].map((at): [number, string, number, 'stopped'] => [
      at + 1,
      `j.0.0.${at}`,
      1,
      'stopped',
    ]);
    harness.report('a', report([], ends));
    expect(harness.plan().starts).toEqual([]);
  });

  it('takes over runs of an earlier term and restarts only what their worker does not list', () => {
    const harness = new Harness();
    harness.scheduler.onWorker(worker('a'), harness.now);
    const record = (task: string): TaskRecord => ({
      checkpoint: 'c',
      failures: 0,
      run: 3,
      state: 'assigned',
      task,
      workerId: 'a',
    });
    const taken = job('j', [step({ count: 2 })]);
    harness.scheduler.onJob(taken, [record('j.0.0.0'), record('j.0.0.1')], harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.report('a', report([['j.0.0.0', 3]]));
    const { starts } = harness.plan();
    expect(starts).toMatchObject([{ run: 4, task: { checkpoint: 'c', name: 'j.0.0.1' } }]);
  });

  it('keeps the runs of a worker that is not in the registry until no lease of the last leader is left', () => {
    const harness = new Harness('b');
    const record: TaskRecord = {
      checkpoint: '',
      failures: 0,
      run: 1,
      state: 'assigned',
      task: 'j.0.0.0',
      workerId: 'gone',
    };
    harness.scheduler.onJob(job('j', [step()]), [record], harness.now, 0);
    harness.now = SETTINGS.earlierLeasesEndAt - 50;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.now += 100;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toMatchObject([{ run: 2 }]);
  });

  it('asks a worker before it gives up what an earlier term had assigned to it', () => {
    const harness = new Harness('b');
    harness.scheduler.onWorker(worker('a'), harness.now);
    const record = { checkpoint: '', failures: 0, run: 1, task: 'j.0.0.0', workerId: 'a' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'assigned' }], harness.now, 0);
    harness.now = SETTINGS.earlierLeasesEndAt + 100;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'done']]));
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.states).toMatchObject([{ id: 'j', state: 'completed' }]);
  });

  it('makes an unanswered order void again in a new life of its worker', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.plan().starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    order.worker.extendLease(harness.now, 1000);
    harness.scheduler.onStartAnswer(order, START_ANSWER.silent, harness.now);
    harness.plan();
    harness.scheduler.onWorker(worker('a', { bornAt: 2 }), harness.now);
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
  });

  it('shows no pool for workers that only stored assignments tell of, so that no VM is moved there', () => {
    const harness = new Harness('b');
    const record = { checkpoint: '', failures: 0, run: 1, task: 'j.0.0.0', workerId: 'gone' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'assigned' }], harness.now, 0);
    harness.now = SETTINGS.earlierLeasesEndAt + 100;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.scheduler.loads(harness.now).map((load) => load.pool)).toEqual(['p']);
  });

  it('starts the members of a gang together or not at all', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('big', [step({ count: 5, gang: true })]), [], harness.now, 0);
    expect(harness.start()).toEqual([]);
    harness.scheduler.onWorker(worker('b'), harness.now);
    harness.report('b');
    expect(harness.start()).toHaveLength(5);
  });

  it('keeps the records of a job until its end is stored, so that no later leader runs it again', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'done']]));
    expect(harness.plan().records.map((record) => record.value)).not.toContain(undefined);
    harness.scheduler.onEndStored('j');
    expect(harness.plan().records).toEqual([{ key: 't.j.0.0.0', value: undefined }]);
  });

  it('ends a job that had failed before the term began instead of trying it again', () => {
    const harness = new Harness('a');
    const record = { checkpoint: '', failures: 2, run: 2, task: 'j.0.0.0', workerId: '' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'waiting' }], harness.now, 0);
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.states).toMatchObject([{ id: 'j', state: 'failed' }]);
  });

  it('does not take a task away while another of its step is on a silent worker', () => {
    const harness = new Harness('a', 'b');
    const lasting = step({ count: 2, longRunning: true, maxPerWorker: 1, mayMiss: 1 });
    harness.scheduler.onJob(job('j', [lasting]), [], harness.now, 0);
    const [first, second] = harness.start();
    for (const order of [first, second]) {
      const rows = report([[order?.task.name ?? '', 1]]);
      rows.running[0] = { checkpoint: '', load: 0, percent: 100, run: 1, task: order?.task.name ?? '' };
      harness.report(order?.worker.info.id ?? '', rows);
    }
    if (first === undefined || second === undefined) {
      throw new Error('not all tasks were started');
    }
    expect(canDisrupt(first.task, harness.now)).toBe(true);
    harness.scheduler.onSilence(second.worker);
    expect(canDisrupt(first.task, harness.now)).toBe(false);
  });

  it('moves a run that makes no progress to another worker', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.start();
    const id = order?.worker.info.id ?? '';
    for (let at = 0; at < 4; at += 1) {
      harness.now += 900;
      order?.worker.extendLease(harness.now, 10_000);
      harness.report(id, report([['j.0.0.0', 1]]));
    }
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
    harness.report(id, report([], [[1, 'j.0.0.0', 1, 'stopped']]));
    const [next] = harness.plan().starts;
    expect(next?.run).toBe(2);
    expect(next?.worker).not.toBe(order?.worker);
  });

  it('moves tasks that last away from a worker that leaves', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step({ longRunning: true })]), [], harness.now, 0);
    const [order] = harness.start();
    const id = order?.worker.info.id ?? '';
    harness.report(id, report([['j.0.0.0', 1]]));
    harness.scheduler.onWorker(worker(id, { draining: true }), harness.now);
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().stops).toHaveLength(1);
  });

  it('stops what fills idle time while a task beside it misses its target, and lets it on again', () => {
    const harness = new Harness('a');
    const steps = [
      step({ longRunning: true, tailTargetMs: 100 }),
      step({ fillsIdle: true, longRunning: true }),
    ];
    harness.scheduler.onJob(job('j', steps), [], harness.now, 0);
    harness.start();
    const withTail = (load: number): ReturnType<typeof report> => {
      const made = report([
        ['j.0.0.0', 1],
        ['j.0.1.0', 1],
      ]);
      for (const row of made.running) {
        row.load = row.task === 'j.0.0.0' ? load : 0;
      }
      return made;
    };
    harness.report('a', withTail(150));
    expect(harness.plan().paces).toMatchObject([{ percent: 0, task: 'j.0.1.0' }]);
    harness.report('a', withTail(30));
    expect(harness.plan().paces).toMatchObject([{ percent: 15 }]);
  });

  it('assigns nothing to a worker that drains', () => {
    const harness = new Harness('a');
    harness.scheduler.onWorker(worker('a', { draining: true }), harness.now);
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    expect(harness.start()).toEqual([]);
  });
});
