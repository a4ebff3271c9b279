import { describe, expect, it } from 'vitest';
import type { TaskRecord, Worker } from '../../src/jobs';
import { decodeTaskRecord, Scheduler, START_ANSWER } from '../../src/jobs';
import { CrashingFleet } from './support/crashing-fleet';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

/** Most starts of a task that crashes its workers, of which the third crash is the last that may be needed. */
const MAX_STARTS = 5;

const ZONES = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2', 'z3', 'z3'];

function jobs(count: number): ReturnType<typeof job>[] {
  return Array.from({ length: count }, (_, index) => job(`j${index}`, [step({ count: 4 })]));
}

describe('tasks that crash their workers', () => {
  it.each([
    ['one task', ['j3.0.0.0'], 0],
    ['several tasks', ['j1.0.0.0', 'j4.0.0.2', 'j8.0.0.3'], 0],
    ['one task, while leaders change', ['j3.0.0.0'], 700],
    ['several tasks, while leaders change', ['j1.0.0.0', 'j4.0.0.2', 'j8.0.0.3'], 1900],
  ])('are given up, and no other task is: %s', (_, crashing, leaderTermMs) => {
    const fleet = new CrashingFleet(jobs(12), new Set(crashing), ZONES);
    for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += leaderTermMs || 60_000) {
      fleet.run(leaderTermMs || 60_000);
      if (leaderTermMs > 0 && elapsedMs < 20_000) {
        fleet.changeLeader();
      }
    }
    const failed = [...fleet.ended].filter(([, state]) => state === 'failed').map(([id]) => id);
    expect(failed.sort()).toEqual(crashing.map((name) => name.slice(0, 2)).sort());
    expect(fleet.ended.size).toBe(12);
    for (const name of crashing) {
      expect(fleet.starts.get(name), name).toBeLessThanOrEqual(MAX_STARTS);
    }
  });
});

/** Leader whose only worker `a` has reported, and starts the only task of the job `j`. */
class SingleWorker {
  now = 1000;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  readonly worker: Worker;

  constructor(records: readonly TaskRecord[] = []) {
    this.scheduler.onConfig(config());
    this.scheduler.onWorkerRegistered(worker('a'), this.now);
    const found = this.scheduler.workers.get('a');
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    this.worker = found;
    if (records.length === 0) {
      this.scheduler.onReport(found, report(), this.now - 1, this.now);
    }
    this.scheduler.onJob(job('j', [step()]), records, this.now, 0);
  }

  start(): void {
    for (const order of this.scheduler.plan(this.now, 0).starts) {
      order.worker.extendLease(this.now, 1000);
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
  }

  disconnect(): void {
    this.now += 50;
    this.scheduler.onWorkerDisconnected(this.worker, this.now);
    this.scheduler.onWorkerDisconnected(this.worker, this.now + 50);
  }

  records(): TaskRecord[] {
    return this.scheduler.plan(this.now, 0, false).records.flatMap(({ key, value = '' }) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
  }
}

describe('crash of a worker', () => {
  it('counts once for a run, although the next leader finds the worker gone as well', () => {
    const first = new SingleWorker();
    first.start();
    first.disconnect();
    const stored = first.records();
    expect(stored.at(-1)?.crashes).toEqual({ alone: 1, caused: 1, lastRun: 1, suspected: 1 });
    const next = new SingleWorker(stored.slice(-1));
    next.disconnect();
    next.scheduler.onWorkerReplaced(next.worker, next.now);
    expect(next.records().at(-1)?.crashes).toEqual({ alone: 1, caused: 1, lastRun: 1, suspected: 1 });
    expect(next.scheduler.jobs.get('j')?.hasEnded).toBe(false);
  });

  it('is not blamed on a sound task that is lost with its rack just after its start', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.scheduler.onWorkerRegistered(worker('b'), fleet.now);
    const neighbour = fleet.scheduler.workers.get('b');
    if (neighbour === undefined) {
      throw new Error('the worker is not known');
    }
    fleet.scheduler.onWorkerDisconnected(neighbour, fleet.now + 30);
    fleet.disconnect();
    expect(fleet.records().at(-1)?.crashes).toEqual({ alone: 1, caused: 0, lastRun: 1, suspected: 1 });
  });

  it('is blamed on a task that crashes its workers while other workers of their zone are lost each time', () => {
    let isGivenUp: boolean | undefined;
    const records = Array.from({ length: 3 }).reduce<TaskRecord[]>((stored) => {
      const fleet = new SingleWorker(stored.slice(-1));
      if (stored.length > 0) {
        fleet.scheduler.onReport(fleet.worker, report(), fleet.now - 1, fleet.now);
      }
      fleet.start();
      fleet.scheduler.onWorkerRegistered(worker('b'), fleet.now);
      const neighbour = fleet.scheduler.workers.get('b');
      if (neighbour !== undefined) {
        fleet.scheduler.onWorkerDisconnected(neighbour, fleet.now + 30);
      }
      fleet.disconnect();
      isGivenUp = fleet.scheduler.jobs.get('j')?.hasEnded;
      fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now + 100);
      return fleet.records();
    }, []);
    expect(records.at(-1)?.crashes).toMatchObject({ caused: 0, suspected: 3 });
    expect(isGivenUp).toBe(true);
  });

  it('is not blamed on a task that had been running for long', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.now += 5000;
    fleet.disconnect();
    expect(fleet.records()).toEqual([]);
  });

  it('is not concluded from a time-out, or from a connection that can be opened again', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.records();
    fleet.scheduler.onWorkerUnresponsive(fleet.worker);
    fleet.scheduler.onWorkerDisconnected(fleet.worker, fleet.now + 20);
    fleet.scheduler.onReport(fleet.worker, report([['j.0.0.0', 1]]), fleet.now + 30, fleet.now + 40);
    fleet.scheduler.onWorkerDisconnected(fleet.worker, fleet.now + 60);
    expect(fleet.records()).toEqual([]);
  });

  it('releases the runs as soon as another worker answers at the address', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.scheduler.onWorkerRegistered(worker('b'), fleet.now);
    const other = fleet.scheduler.workers.get('b');
    if (other === undefined) {
      throw new Error('the worker is not known');
    }
    fleet.scheduler.onReport(other, report(), fleet.now, fleet.now + 1);
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now + 2);
    expect(fleet.scheduler.workers.has('a')).toBe(false);
    expect(fleet.scheduler.plan(fleet.now + 3, 0).starts).toMatchObject([{ run: 2, worker: other }]);
  });
});
