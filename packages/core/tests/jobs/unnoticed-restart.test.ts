import { beforeEach, describe, expect, it } from 'vitest';
import type { AnswerClock, StartOrder, Worker, WorkerReport } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TASK = 'j.0.0.0';

const LEASE_MS = 1000;

/** Longest time in which a call that extends the lease reaches the worker, in ms. */
const MAX_CALL_MS = 1700;

/** Two workers; the first restarts under its id, and the leader does not know it yet. */
class Harness {
  now = 10_000;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);

  constructor() {
    this.scheduler.onConfig(config());
    this.scheduler.onWorkerRegistered(worker('a', { bornAt: 1 }), this.now);
    this.report('a', { ...report([], [], 1), clockMs: 9000 });
  }

  find(id: string): Worker {
    const found = this.scheduler.workers.get(id);
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  addOther(): void {
    this.scheduler.onWorkerRegistered(worker('b'), this.now);
    this.report('b', report());
  }

  report(id: string, parts: WorkerReport, askedAt = this.now): void {
    this.now += 10;
    this.scheduler.onReport(this.find(id), parts, askedAt, this.now);
  }

  plan(): StartOrder[] {
    this.now += 10;
    this.scheduler.tick(this.now, 0);
    this.scheduler.requestAssignment();
    return this.scheduler.plan(this.now, 0).starts;
  }

  /** Assigns the task to the first worker, whose present incarnation answers with the reading of its clock. */
  order(clockMs: number): void {
    const order = this.#assign();
    const expected = order.worker.proofAt(this.now);
    order.worker.extendLease(this.now, LEASE_MS);
    const clock: AnswerClock | undefined = expected && { expected, readingMs: clockMs };
    this.now += 10;
    this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now, clock);
    this.addOther();
  }

  /** Assigns the task to the first worker, which gives no answer. */
  orderUnanswered(): void {
    const order = this.#assign();
    order.worker.extendLease(this.now, LEASE_MS);
    this.scheduler.onStartSent(order);
    this.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, this.now);
    this.addOther();
  }

  #assign(): StartOrder {
    this.scheduler.onJob(job('j', [step()]), [], this.now, 0);
    const [order] = this.plan();
    if (order === undefined) {
      throw new Error('the task was not assigned');
    }
    return order;
  }
}

// Guards against a second run beside the first: a worker that is back under its id takes the order that was meant for
// its former life, and the leader learns of the restart after the answer.
describe('a worker that has restarted unnoticed and was then given a run', () => {
  let harness: Harness;

  beforeEach(() => {
    harness = new Harness();
  });

  it('keeps the run when its entry is read, also after a call without an answer', () => {
    harness.order(500);
    harness.scheduler.onWorkerUnresponsive(harness.find('a'), harness.now);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 9500 }), harness.now);
    expect(harness.plan()).toEqual([]);
    harness.report('a', report([[TASK, 1]], [], 9500));
    expect(harness.plan()).toEqual([]);
    expect(harness.find('a').runs.has(TASK)).toBe(true);
  });

  it('keeps the run when a report is read that was asked for before the order was answered', () => {
    const askedAt = harness.now;
    harness.order(500);
    harness.report('a', report([], [], 9500), askedAt);
    expect(harness.plan()).toEqual([]);
    harness.report('a', report([[TASK, 1]], [], 9500));
    expect(harness.plan()).toEqual([]);
    expect(harness.find('a').runs.has(TASK)).toBe(true);
  });

  it('gives up the run after a report that was asked for later and does not list it', () => {
    harness.order(500);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 9500 }), harness.now);
    harness.report('a', report([], [], 9500));
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
  });

  it('gives up the run at once when the answer came from the incarnation before', () => {
    harness.order(9100);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 9500 }), harness.now);
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
  });

  it('keeps the run when the known incarnation was so young that the clock of the next one shows as much', () => {
    harness.report('a', { ...report([], [], 5), clockMs: 5 }, harness.now - 100);
    harness.order(80);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 9500 }), harness.now);
    expect(harness.plan()).toEqual([]);
    harness.report('a', report([[TASK, 1]], [], 9500));
    expect(harness.plan()).toEqual([]);
  });

  it('is not taken for restarted when its reading is rounded down', () => {
    const elapsedMs = 10;
    harness.order(9000 + Math.floor(0.98 * elapsedMs));
    expect(harness.find('a').isAssignable(harness.now)).toBe(true);
  });

  it('gets no other orders until it has reported', () => {
    harness.order(500);
    expect(harness.find('a').isAssignable(harness.now)).toBe(false);
    harness.report('a', report([[TASK, 1]], [], 9500));
    expect(harness.find('a').isAssignable(harness.now)).toBe(true);
  });

  // The clock of the new life starts anew, so that the deadline for the former one lasts for the longest lease.
  it('keeps the run for the longest lease when it is cut off before its restart is known', () => {
    harness.order(500);
    harness.scheduler.onWorkerUnresponsive(harness.find('a'), harness.now);
    const startedAt = harness.now;
    harness.now = startedAt + SCHEDULER_SETTINGS.maxLeaseMs;
    expect(harness.plan()).toEqual([]);
    harness.now = startedAt + MAX_CALL_MS + 1.03 * SCHEDULER_SETTINGS.maxLeaseMs + 200;
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
  });

  it('keeps the run of an order without an answer for the longest lease', () => {
    harness.orderUnanswered();
    const sentAt = harness.now;
    harness.now = sentAt + SCHEDULER_SETTINGS.maxLeaseMs;
    expect(harness.plan()).toEqual([]);
    harness.now = sentAt + MAX_CALL_MS + 1.03 * SCHEDULER_SETTINGS.maxLeaseMs + 200;
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
  });

  it('gives up the run of an order without an answer after its lease when the registry shows no restart', () => {
    harness.orderUnanswered();
    const sentAt = harness.now;
    harness.scheduler.tick(sentAt + 5000, 0, sentAt + 1000);
    expect(harness.plan()).toEqual([]);
    harness.scheduler.tick(sentAt + 5000, 0, sentAt + 4000);
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
  });

  // Guards against a late order that the next life carries out beside the next run, after its entry was gone for a while.
  it('is ordered to stop the run of an order without an answer as soon as its entry is back', () => {
    harness.orderUnanswered();
    harness.scheduler.onWorkerDeregistered('a');
    harness.now += 6000;
    harness.scheduler.tick(harness.now, 0, harness.now);
    expect(harness.plan()).toMatchObject([{ run: 2 }]);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 9500 }), harness.now);
    const { stops } = harness.scheduler.plan(harness.now, 0);
    expect(stops).toMatchObject([{ run: 1, task: TASK, worker: { info: { id: 'a' } } }]);
  });

  // Guards against orders to a worker that has stopped answering and has only got its entry back.
  it('gets no orders until it has reported when its entry is back after an order without an answer', () => {
    harness.orderUnanswered();
    harness.scheduler.onWorkerDeregistered('a');
    harness.now += 6000;
    harness.scheduler.tick(harness.now, 0, harness.now);
    expect(harness.find('a').runs.size).toBe(0);
    harness.scheduler.onWorkerRegistered(worker('a', { bornAt: 1 }), harness.now);
    expect(harness.find('a').isAssignable(harness.now)).toBe(false);
    harness.report('a', report([], [], 1));
    expect(harness.find('a').isAssignable(harness.now)).toBe(true);
  });

  it('keeps the run of an earlier term for the longest lease when it may not have been known to that term', () => {
    const now = 10_000;
    const settings = { ...SCHEDULER_SETTINGS, earlierLeasesEndAt: 14_000, earlierLongestLeasesEndAt: 20_000 };
    const scheduler = new Scheduler(settings, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a', { bornAt: 95_000 }), now);
    scheduler.onWorkerRegistered(worker('b', { bornAt: 1 }), now);
    const record = { checkpoint: '', failures: 0, run: 1, state: 'assigned' } as const;
    const records = ['a', 'b'].map((workerId, index) => ({ ...record, task: `j.0.0.${index}`, workerId }));
    scheduler.onJob(job('j', [step({ count: 2 })]), records, now, 100_000);
    for (const known of scheduler.workers.values()) {
      scheduler.onWorkerUnresponsive(known, now);
    }
    scheduler.tick(19_000, 0);
    const waiting = [...(scheduler.jobs.get('j')?.tasks() ?? [])].filter(({ phase }) => phase === 'waiting');
    expect(waiting.map(({ name }) => name)).toEqual(['j.0.0.1']);
    scheduler.tick(20_001, 0);
    expect(scheduler.workers.get('a')?.runs.size).toBe(0);
  });
});
