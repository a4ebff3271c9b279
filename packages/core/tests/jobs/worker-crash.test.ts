import { describe, expect, it } from 'vitest';
import type { CrashCounts, CrashSuspicion, TaskRecord, Worker, WorkerInfo } from '../../src/jobs';
import type { Cut } from './support/crashing-fleet';
import { decodeTaskRecord, Scheduler, START_ANSWER } from '../../src/jobs';
import { CrashingFleet } from './support/crashing-fleet';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

/** Most starts of a task that crashes its workers, of which the third crash is the last that may be needed. */
const MAX_STARTS = 5;

const ZONES = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2', 'z3', 'z3'];

const NO_ZONE_OUTAGES = ['z1', 'z2', 'z3', 'z4', 'z5', 'z6', 'z7', 'z8'];

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

const CUT: Cut = { forMs: 5500, losesAnswersOnly: false, takesRegistry: false };

const CRASHING = 'crashing.0.0.0';

const ROUNDS = 120;

// Guards against jobs that are given up, or started without limit, since a cut that resets connections looks like a crash.
describe('cuts of workers that run on', () => {
  it.each([
    ['from the nodes', CUT, 0],
    ['from the nodes and the registry', { ...CUT, takesRegistry: true }, 0],
    ['one way only', { ...CUT, losesAnswersOnly: true }, 0],
    ['for longer than a lease', { ...CUT, forMs: 12_000 }, 0],
    ['for less than a lease', { ...CUT, forMs: 1500 }, 0],
    ['while leaders change', CUT, 1900],
    ['from the nodes and the registry, while leaders change', { ...CUT, takesRegistry: true }, 1900],
  ])('fail no sound job, and keep the limit for one that crashes its workers: %s', (_, cut, leaderTermMs) => {
    for (let offset = 0; offset < 8; offset += 1) {
      const fleet = playCuts(cut, leaderTermMs, offset);
      const failed = [...fleet.ended].filter(([, state]) => state === 'failed').map(([id]) => id);
      expect(failed, `offset ${offset}`).toEqual(['crashing']);
      expect(fleet.ended.size).toBe(ROUNDS + 1);
      expect(fleet.starts.get(CRASHING)).toBeLessThanOrEqual(MAX_STARTS);
      expect(fleet.violations).toEqual([]);
    }
  });
});

// Half of the workers are cut off every 5 s, beginning with another one for each offset, while jobs come.
function playCuts(cut: Cut, leaderTermMs: number, offset: number): CrashingFleet {
  const fleet = new CrashingFleet([], new Set([CRASHING]), NO_ZONE_OUTAGES);
  fleet.run(500);
  fleet.submit(job('crashing', [step()]));
  for (let round = 0; round < ROUNDS; round += 1) {
    if (round % 20 === 0) {
      [0, 1, 2, 3].forEach((position) => {
        fleet.cutOff(offset + round / 20 + 2 * position, cut);
      });
    }
    fleet.submit(job(`j${round}`, [step()]));
    fleet.run(250);
    if (leaderTermMs > 0 && (round * 250) % leaderTermMs < 250) {
      fleet.changeLeader();
    }
  }
  fleet.run(60_000);
  return fleet;
}

/** Time after which an entry in the registry was certainly written after a suspicion, in ms. */
const ENTRY_AGE_MS = 3000;

/** Time after which a worker whose entry has not come back counts as ended, in ms. */
const GONE_AFTER_MS = 10_000;

/** Suspicion that the task of `SingleWorker` has certainly crashed its worker with run 1. */
const SUSPICION: CrashSuspicion = {
  address: 'a:1',
  bornAt: 1,
  isAlone: true,
  isCertain: true,
  run: 1,
  workerId: 'a',
};

/** Counts after that crash is proven. */
const ONE_CRASH: CrashCounts = { alone: 1, caused: 1, lastRun: 1, suspected: 1 };

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

  /** Assigns the task and sends its order, which gets no answer. */
  startUnanswered(): void {
    for (const order of this.scheduler.plan(this.now, 0).starts) {
      order.worker.extendLease(this.now, 1000);
      this.scheduler.onStartSent(order);
      this.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, this.now);
    }
  }

  /** Ends the lease of the worker's runs without a report. */
  expireLease(): void {
    this.now += 20_000;
    this.scheduler.tick(this.now, 0);
  }

  get isGivenUp(): boolean | undefined {
    return this.scheduler.jobs.get('j')?.hasEnded;
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
    expect(stored.at(-1)).toMatchObject({ crashes: undefined, suspicions: [SUSPICION] });
    const next = new SingleWorker(stored.slice(-1));
    next.disconnect();
    next.scheduler.onWorkerReplaced(next.worker, next.now);
    const proven = next.records();
    expect(proven.at(-1)).toMatchObject({ crashes: ONE_CRASH, suspicions: undefined });
    expect(next.isGivenUp).toBe(false);
    const last = new SingleWorker(proven.slice(-1));
    last.disconnect();
    last.scheduler.onWorkerReplaced(last.worker, last.now);
    expect(last.records()).toEqual([]);
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
    expect(fleet.records().at(-1)?.suspicions).toEqual([{ ...SUSPICION, isCertain: false }]);
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now);
    expect(fleet.records().at(-1)?.crashes).toEqual({ ...ONE_CRASH, caused: 0 });
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
      expect(fleet.isGivenUp).toBe(false);
      fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now + 100);
      isGivenUp = fleet.isGivenUp;
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
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now);
    expect(fleet.records().at(-1)).toMatchObject({ crashes: undefined, suspicions: undefined });
  });

  it('is not concluded from a time-out, or from a connection that can be opened again', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.records();
    fleet.scheduler.onWorkerUnresponsive(fleet.worker, fleet.now);
    fleet.scheduler.onWorkerDisconnected(fleet.worker, fleet.now + 20);
    fleet.scheduler.onReport(fleet.worker, report([['j.0.0.0', 1]]), fleet.now + 30, fleet.now + 40);
    fleet.scheduler.onWorkerDisconnected(fleet.worker, fleet.now + 60);
    expect(fleet.records()).toEqual([]);
  });

  it('is not concluded from a cut that resets connections, and is taken back once the worker reports', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.disconnect();
    expect(fleet.records().at(-1)?.suspicions).toEqual([SUSPICION]);
    fleet.expireLease();
    expect(fleet.isGivenUp).toBe(false);
    fleet.scheduler.onReport(fleet.worker, report(), fleet.now, fleet.now + 10);
    expect(fleet.records().at(-1)).toMatchObject({ crashes: undefined, suspicions: undefined });
  });

  it('is not blamed on tasks that were ordered to start on two workers during a cut', () => {
    const fleet = new SingleWorker();
    for (const id of ['b', 'c']) {
      fleet.startUnanswered();
      const ordered = [...fleet.scheduler.workers.values()].find(({ runs }) => runs.size > 0);
      fleet.scheduler.onWorkerDisconnected(ordered ?? fleet.worker, fleet.now);
      fleet.scheduler.onWorkerDisconnected(ordered ?? fleet.worker, fleet.now + 250);
      fleet.expireLease();
      fleet.scheduler.onWorkerRegistered(worker(id), fleet.now);
      const added = fleet.scheduler.workers.get(id);
      if (added !== undefined) {
        fleet.scheduler.onReport(added, report(), fleet.now, fleet.now);
      }
    }
    expect(fleet.isGivenUp).toBe(false);
    expect(fleet.scheduler.plan(fleet.now, 0).starts).toMatchObject([{ run: 3 }]);
  });

  it.each<[string, WorkerInfo]>([
    ['another worker at the address', worker('b', { address: 'a:1', bornAt: 2 })],
    ['another incarnation under the id', worker('a', { address: 'b:1', bornAt: 2 })],
  ])('is proven to a later leader by an entry of %s', (_, entry) => {
    const first = new SingleWorker();
    first.start();
    first.disconnect();
    const next = new SingleWorker(first.records().slice(-1));
    next.scheduler.onWorkerRegistered(entry, next.now);
    expect(next.records().at(-1)).toMatchObject({ crashes: ONE_CRASH, suspicions: undefined });
  });

  it('is not proven by the entry that an earlier worker has left at the address', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.disconnect();
    fleet.records();
    fleet.scheduler.onWorkerRegistered(worker('b', { address: 'a:1', bornAt: 0 }), fleet.now);
    expect(fleet.records()).toEqual([]);
  });

  it('is doubted while the worker goes on writing its entry, so that its task starts beside others again', () => {
    const fleet = new SingleWorker();
    fleet.start();
    fleet.disconnect();
    const [task] = [...fleet.worker.runs.values()];
    fleet.scheduler.onWorkerRegistered(worker('a'), fleet.now + 100);
    expect(task?.isSuspected).toBe(true);
    fleet.scheduler.onWorkerRegistered(worker('a'), fleet.now + 100 + ENTRY_AGE_MS);
    expect(task?.isSuspected).toBe(false);
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now + 200 + ENTRY_AGE_MS);
    expect(fleet.records().at(-1)?.crashes).toEqual(ONE_CRASH);
  });

  it('is not blamed on a task whose order has not been sent', () => {
    const fleet = new SingleWorker();
    fleet.scheduler.plan(fleet.now, 0);
    fleet.disconnect();
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now);
    expect(fleet.records().at(-1)).toMatchObject({ crashes: undefined, suspicions: undefined });
  });

  it('is not certainly caused by a task whose order got no answer', () => {
    const fleet = new SingleWorker();
    fleet.startUnanswered();
    fleet.disconnect();
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now);
    expect(fleet.records().at(-1)?.crashes).toEqual({ ...ONE_CRASH, caused: 0 });
  });

  it('is not blamed on a task whose VM an order of the leader may have taken', () => {
    const fleet = new SingleWorker();
    fleet.start();
    const holder = 'pool-balancer';
    fleet.worker.vmRisks.set(holder, { holder, until: fleet.now + 5000 });
    fleet.disconnect();
    fleet.scheduler.onWorkerReplaced(fleet.worker, fleet.now);
    expect(fleet.records().at(-1)?.crashes).toEqual({ ...ONE_CRASH, alone: 0, caused: 0 });
  });

  it('keeps a task from starting without limit while it is not proven', () => {
    const suspicions = [1, 2, 3, 4, 5].map((run) => ({ ...SUSPICION, run, workerId: `lost${run}` }));
    const record = {
      checkpoint: '',
      failures: 0,
      run: 5,
      state: 'waiting',
      task: 'j.0.0.0',
      workerId: '',
    } as const;
    const fleet = new SingleWorker([{ ...record, suspicions }]);
    fleet.scheduler.onReport(fleet.worker, report(), fleet.now, fleet.now);
    expect(fleet.scheduler.plan(fleet.now, 0).starts).toEqual([]);
    expect(fleet.isGivenUp).toBe(false);
    fleet.scheduler.tick(fleet.now + GONE_AFTER_MS, 0);
    expect(fleet.isGivenUp).toBe(true);
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
