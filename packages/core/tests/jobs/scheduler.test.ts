import { describe, expect, it } from 'vitest';
import type { Plan, StartOrder, TaskRecord, Worker } from '../../src/jobs';
import { decodeTaskRecord, Scheduler, START_ANSWER } from '../../src/jobs';
import { canDisrupt } from '../../src/maintenance/disruption-budget';
import { answerClock, config, job, report, step, worker } from './support/jobs';

const SETTINGS = {
  earlierLeasesEndAt: 10_100,
  earlierLongestLeasesEndAt: 10_100,
  maxLeaseMs: 10_000,
  maxRecordBytes: 262_144,
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
      this.scheduler.onWorkerRegistered(worker(id), this.now);
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
      const clock = answerClock(order.worker, this.now);
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now, clock);
    }
    return starts;
  }
}

/** Longest time in which a call that extends the lease reaches the worker, in ms. */
const MAX_CALL_MS = 1700;

function names(orders: readonly StartOrder[]): string[] {
  return orders.map((order) => order.task.name);
}

describe('Scheduler', () => {
  it('starts a step only after the steps that it depends on are done', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step(), step({ after: [0] })]), [], harness.now, 0);
    expect(names(harness.start())).toEqual(['j.0.0.0']);
    harness.report('a', report([['j.0.0.0', 1]]));
    expect(names(harness.start())).toEqual([]);
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'done']]));
    expect(names(harness.start())).toEqual(['j.0.1.0']);
  });

  it('never assigns more than the capacity of a worker', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step({ count: 6 })]), [], harness.now, 0);
    expect(harness.start()).toHaveLength(4);
  });

  it('reports a job as completed only together with the record of its last end', () => {
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

  it('does not run a task again while an unanswered order may still be executed', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.plan().starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    const { id } = order.worker.info;
    order.worker.extendLease(harness.now, 1000);
    harness.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, harness.now);
    harness.report(id);
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
    harness.scheduler.onStopAcknowledged({ run: 1, task: 'j.0.0.0', worker: order.worker }, harness.now);
    harness.report(id);
    expect(harness.plan().starts).toMatchObject([{ run: 2 }]);
  });

  it('waits for the end of the lease before it runs the tasks of an unresponsive worker elsewhere', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.start();
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    harness.scheduler.onWorkerUnresponsive(order.worker, harness.now);
    harness.now = order.worker.leaseEndsAt - 20;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.now = order.worker.leaseEndsAt + 1;
    harness.scheduler.tick(harness.now, 0);
    const [second] = harness.plan().starts;
    expect(second?.worker).not.toBe(order.worker);
    expect(second?.run).toBe(2);
  });

  it('runs the tasks of a restarted worker again immediately', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.report('a', report([['j.0.0.0', 1]]));
    harness.report('a', report([], [], 2));
    expect(harness.plan().starts).toMatchObject([{ run: 2 }]);
  });

  it('fails a job after the maximum number of failed runs', () => {
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

  it('stops the runs of a cancelled job, and orphaned runs', () => {
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

  it('does not run a cancelled job again when a configuration arrives while its runs are being stopped', () => {
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

  it('takes over the runs of an earlier term and restarts only those that their worker does not list', () => {
    const harness = new Harness();
    harness.scheduler.onWorkerRegistered(worker('a'), harness.now);
    const record = (task: string): TaskRecord => ({
      checkpoint: 'c',
      failures: 0,
      run: 3,
      state: 'assigned',
      task,
      workerId: 'a',
    });
    const restored = job('j', [step({ count: 2 })]);
    harness.scheduler.onJob(restored, [record('j.0.0.0'), record('j.0.0.1')], harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.report('a', report([['j.0.0.0', 3]]));
    const { starts } = harness.plan();
    expect(starts).toMatchObject([{ run: 4, task: { checkpoint: 'c', name: 'j.0.0.1' } }]);
  });

  it('keeps the runs of a deregistered worker until the leases of earlier terms have ended', () => {
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

  it('does not release runs of an earlier term before their worker has sent a report', () => {
    const harness = new Harness('b');
    harness.scheduler.onWorkerRegistered(worker('a'), harness.now);
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

  it('revokes an unanswered order again after a restart of its worker', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [order] = harness.plan().starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    order.worker.extendLease(harness.now, 1000);
    harness.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, harness.now);
    harness.plan();
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 2 }), harness.now);
    expect(harness.plan().stops).toMatchObject([{ run: 1, task: 'j.0.0.0' }]);
  });

  it('lists no pool for workers known only from stored assignments, so that no VM is moved there', () => {
    const harness = new Harness('b');
    const record = { checkpoint: '', failures: 0, run: 1, task: 'j.0.0.0', workerId: 'gone' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'assigned' }], harness.now, 0);
    harness.now = SETTINGS.earlierLeasesEndAt + 100;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.scheduler.loads(harness.now).map((load) => load.pool)).toEqual(['p']);
  });

  it('starts either all members of a gang together or none', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('big', [step({ count: 5, gang: true })]), [], harness.now, 0);
    expect(harness.start()).toEqual([]);
    harness.scheduler.onWorkerRegistered(worker('b'), harness.now);
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

  it('counts a failed run once when its worker lists the end to the next leader again', () => {
    const harness = new Harness('a');
    const record = { checkpoint: '', failures: 1, run: 1, task: 'j.0.0.0', workerId: '' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'waiting' }], harness.now, 0);
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'failed']]));
    const plan = harness.plan();
    expect(plan.states).toEqual([]);
    expect(names(plan.starts)).toEqual(['j.0.0.0']);
  });

  it('counts the end of a released run that its worker lists to the next leader', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    const { leaseEndsAt } = harness.worker('a');
    harness.scheduler.onWorkerUnresponsive(harness.worker('a'), harness.now);
    harness.scheduler.tick(leaseEndsAt + 1, 0);
    const records = harness.plan().records.flatMap(({ key, value = '' }) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
    const next = new Harness('a');
    next.scheduler.onJob(job('j', [step()]), records, next.now, 0);
    next.report('a', report([], [[1, 'j.0.0.0', 1, 'done']]));
    expect(next.plan().states).toMatchObject([{ id: 'j', state: 'completed' }]);
  });

  it('writes the records of a gang once when all its members list that they are done', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(
      job('j', [step({ count: 4, gang: true }), step({ after: [0] })]),
      [],
      harness.now,
      0,
    );
    harness.start();
    const ends = [0, 1, 2, 3].map((at): [number, string, number, 'done'] => [
      at + 1,
      `j.0.0.${at}`,
      1,
      'done',
    ]);
    harness.report('a', report([], ends));
    const records = harness.plan().records.filter(({ key }) => key.startsWith('t.j.0.0.'));
    expect(records).toHaveLength(4);
  });

  it('does not run a done task of a scheduled job again when the clock of the next leader is behind', () => {
    const harness = new Harness('a');
    const spec = {
      body: 'work',
      schedule: { count: 1, firstAt: 5000, intervalMs: 1000 },
      steps: [step({ count: 2 })],
    };
    const records = [0, 1].map((at): TaskRecord => {
      const rest =
        at === 0 ? { state: 'done' as const, workerId: '' } : { state: 'assigned' as const, workerId: 'a' };
      return { checkpoint: '', failures: 0, run: 1, task: `j.0.0.${at}`, ...rest };
    });
    harness.scheduler.onJob({ ...job('j', []), spec }, records, harness.now, 4000);
    harness.report('a', report([['j.0.0.1', 1]]));
    expect(harness.plan().stops).toEqual([]);
    harness.scheduler.tick(harness.now, 5000);
    expect(names(harness.plan().starts)).toEqual([]);
  });

  it('does not count a failed end of a member of a gang that is done', () => {
    const harness = new Harness('a', 'b');
    const members = step({ count: 2, gang: true, maxPerWorker: 1 });
    const records = [0, 1].map((at): TaskRecord => {
      const workerId = at === 0 ? 'a' : 'b';
      return { checkpoint: '', failures: 1, run: 2, state: 'assigned', task: `k.0.0.${at}`, workerId };
    });
    harness.scheduler.onJob(job('k', [members, step({ after: [0] })]), records, harness.now, 0);
    harness.report('a', report([], [[1, 'k.0.0.0', 2, 'done']]));
    harness.report('b', report([], [[1, 'k.0.0.1', 2, 'failed']]));
    expect(harness.plan().states).not.toContainEqual({ id: 'k', kind: 'state', state: 'failed' });
  });

  it('ends a job that failed before the term began instead of running it again', () => {
    const harness = new Harness('a');
    const record = { checkpoint: '', failures: 2, run: 2, task: 'j.0.0.0', workerId: '' };
    harness.scheduler.onJob(job('j', [step()]), [{ ...record, state: 'waiting' }], harness.now, 0);
    const plan = harness.plan();
    expect(plan.starts).toEqual([]);
    expect(plan.states).toMatchObject([{ id: 'j', state: 'failed' }]);
  });

  it('does not make a task unavailable while another one of its step is on an unresponsive worker', () => {
    const harness = new Harness('a', 'b');
    const longRunning = step({ count: 2, longRunning: true, maxPerWorker: 1, mayMiss: 1 });
    harness.scheduler.onJob(job('j', [longRunning]), [], harness.now, 0);
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
    harness.scheduler.onWorkerUnresponsive(second.worker, harness.now);
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

  it('moves long-running tasks away from a draining worker', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step({ longRunning: true })]), [], harness.now, 0);
    const [order] = harness.start();
    const id = order?.worker.info.id ?? '';
    harness.report(id, report([['j.0.0.0', 1]]));
    harness.scheduler.onWorkerRegistered(worker(id, { draining: true }), harness.now);
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().stops).toHaveLength(1);
  });

  it('stops a best-effort task while a task on the same worker misses its latency target, then resumes it', () => {
    const harness = new Harness('a');
    const steps = [
      step({ longRunning: true, tailTargetMs: 100 }),
      step({ fillsIdle: true, longRunning: true }),
    ];
    harness.scheduler.onJob(job('j', steps), [], harness.now, 0);
    harness.start();
    const reportWithTail = (tailMs: number): ReturnType<typeof report> => {
      const workerReport = report([
        ['j.0.0.0', 1],
        ['j.0.1.0', 1],
      ]);
      for (const row of workerReport.running) {
        row.load = row.task === 'j.0.0.0' ? tailMs : 0;
      }
      return workerReport;
    };
    harness.report('a', reportWithTail(150));
    expect(harness.plan().throttles).toMatchObject([{ percent: 0, task: 'j.0.1.0' }]);
    harness.report('a', reportWithTail(30));
    expect(harness.plan().throttles).toMatchObject([{ percent: 15 }]);
  });

  it('runs no task beside its next run when an answer says late that the VM of its worker was taken', () => {
    const harness = new Harness('w1', 'w2');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [start] = harness.start();
    const busy = start?.worker.info.id ?? '';
    harness.scheduler.onWorkerEnded(harness.worker(busy), harness.now);
    expect(harness.plan().starts).toEqual([]);
    expect(harness.worker(busy).runs.size).toBe(1);
  });

  // Guards against tasks that never end: the worker that is registered stays in its pool, but is asked no more.
  it('keeps a worker that is registered again when a report that was asked for before arrives', () => {
    const harness = new Harness('a');
    const dropped = harness.worker('a');
    harness.scheduler.onWorkerDeregistered('a');
    harness.scheduler.onWorkerRegistered(worker('a'), harness.now);
    harness.report('a');
    harness.scheduler.onReport(dropped, report(), harness.now - 5, harness.now);
    expect(harness.worker('a')).not.toBe(dropped);
    expect(harness.scheduler.loads(harness.now)[0]?.open).toEqual([harness.worker('a')]);
  });

  it('stops no run of a worker that is registered again for a report that was asked for before', () => {
    const harness = new Harness('a');
    const dropped = harness.worker('a');
    harness.scheduler.onWorkerDeregistered('a');
    harness.scheduler.onWorkerRegistered(worker('a'), harness.now);
    harness.report('a');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.scheduler.onReport(dropped, report([['j.0.0.0', 1]]), harness.now - 5, harness.now);
    expect(harness.plan().stops).toEqual([]);
  });

  it('keeps a worker that is registered again when an answer says late that the VM of its worker was taken', () => {
    const harness = new Harness('a');
    const dropped = harness.worker('a');
    harness.scheduler.onWorkerDeregistered('a');
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 2 }), harness.now);
    harness.scheduler.onWorkerEnded(dropped, harness.now);
    expect(harness.worker('a').info.bornAt).toBe(2);
  });

  // Guards against a task that runs again after its end: ends of the new incarnation were acknowledged unread.
  it('drops a report that an earlier incarnation of a worker gave before its restart', () => {
    const harness = new Harness('a');
    harness.scheduler.onJob(job('j', [step({ count: 2 })]), [], harness.now, 0);
    const askedAt = harness.now;
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 2 }), askedAt + 1);
    const late = report([], [[7, 'other.0.0.0', 1, 'done']]);
    harness.scheduler.onReport(harness.worker('a'), late, askedAt, askedAt + 2);
    expect(harness.plan().ends).toEqual([]);
    harness.report('a', report([], [], 2));
    harness.start();
    harness.report('a', report([['j.0.0.1', 1]], [[1, 'j.0.0.0', 1, 'done']], 2));
    expect(harness.plan().ends).toMatchObject([{ bornAt: 2, number: 1 }]);
  });

  // Guards against a worker that is never used again, whose entry counted as older than the one known.
  it('uses a worker that has restarted with its clock set back', () => {
    const harness = new Harness();
    const entries = [5000, 2000].map((bornAt) => worker('a', { address: `a:${bornAt}`, bornAt }));
    const [first, second] = entries;
    if (first === undefined || second === undefined) {
      throw new Error('no entries');
    }
    harness.scheduler.onWorkerRegistered(first, harness.now);
    harness.report('a', report([], [[9, 'other.0.0.0', 1, 'done']], 5000));
    harness.scheduler.onWorkerRegistered(second, harness.now);
    expect(harness.worker('a').info.address).toBe('a:2000');
    expect(harness.worker('a').isFenced).toBe(false);
    harness.report('a', report([], [], 2000));
    harness.scheduler.onWorkerRegistered(first, harness.now);
    harness.scheduler.onWorkerRegistered(second, harness.now);
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    expect(harness.start()).toHaveLength(1);
    harness.report('a', report([], [[1, 'j.0.0.0', 1, 'done']], 2000));
    expect(harness.plan().states.at(-1)).toMatchObject({ id: 'j', state: 'completed' });
  });

  it('keeps the runs of a worker with a clock set back when an entry of its earlier incarnation arrives', () => {
    const harness = new Harness();
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 5000 }), harness.now);
    harness.report('a', report([], [], 2000));
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    harness.start();
    harness.report('a', report([['j.0.0.0', 1]], [], 2000));
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 5000 }), harness.now);
    expect(harness.worker('a').runs.size).toBe(1);
    expect(harness.worker('a').isFenced).toBe(true);
  });

  // Guards against two runs at once: a restarted worker reads a deadline by its own clock, which starts anew.
  it('counts on the longest lease of a worker that got a deadline by the clock before its restart', () => {
    const harness = new Harness('a', 'b');
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    const [first] = harness.start();
    const id = first?.worker.info.id ?? '';
    harness.report(id, report([['j.0.0.0', 1]]));
    harness.report(id, report([], [], 2));
    const restartedAt = harness.now;
    harness.scheduler.onWorkerRegistered(worker(id === 'a' ? 'b' : 'a', { draining: true }), harness.now);
    const [second] = harness.start();
    expect(second?.worker).toBe(first?.worker);
    harness.scheduler.onWorkerRegistered(worker(id === 'a' ? 'b' : 'a'), harness.now);
    harness.scheduler.onWorkerUnresponsive(harness.worker(id), harness.now);
    harness.now = restartedAt + MAX_CALL_MS + SETTINGS.maxLeaseMs;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toEqual([]);
    harness.now = restartedAt + MAX_CALL_MS + 1.03 * SETTINGS.maxLeaseMs + 200;
    harness.scheduler.tick(harness.now, 0);
    expect(harness.plan().starts).toMatchObject([{ run: 3 }]);
  });

  it('assigns no tasks to a draining worker', () => {
    const harness = new Harness('a');
    harness.scheduler.onWorkerRegistered(worker('a', { draining: true }), harness.now);
    harness.scheduler.onJob(job('j', [step()]), [], harness.now, 0);
    expect(harness.start()).toEqual([]);
  });
});
