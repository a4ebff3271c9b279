import { describe, expect, it } from 'vitest';
import { CLAIM_REASON, Scheduler, START_ANSWER, VmClaims, Worker } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const { maintenance, move } = CLAIM_REASON;

interface Logged {
  data: Record<string, unknown>;
  decision: string;
}

function createWorker(): { vmClaims: VmClaims; logged: Logged[]; open: Worker } {
  const logged: Logged[] = [];
  const vmClaims = new VmClaims((decision, data) => {
    logged.push({ data, decision });
  });
  const open = new Worker(worker('a'), 0);
  open.isFenced = true;
  return { vmClaims, logged, open };
}

// Guards against workers that stay closed although nobody needs that, and against workers that one holder reopens
// while another one is about to take their VM.
describe('VmClaims', () => {
  it('opens a worker once all holders have released their claims', () => {
    const { vmClaims, open } = createWorker();
    vmClaims.claim(open, { holder: 'one', reason: move, until: 1000 }, 0);
    vmClaims.claim(open, { holder: 'two', reason: maintenance, until: 1000 }, 0);
    vmClaims.release(open, 'one', 'refused', 10);
    vmClaims.release(open, 'one', 'refused', 20);
    expect(open.isAssignable(30)).toBe(false);
    vmClaims.release(open, 'two', 'refused', 40);
    expect(open.isAssignable(50)).toBe(true);
  });

  it('opens a worker at the bound of a claim, whatever its holder does', () => {
    const { vmClaims, logged, open } = createWorker();
    vmClaims.claim(open, { holder: 'one', reason: move, until: 1000 }, 0);
    expect(open.isAssignable(999)).toBe(false);
    expect(open.isAssignable(1000)).toBe(true);
    vmClaims.expire(open, 1000);
    expect(logged.at(-1)).toMatchObject({ data: { cause: 'expired' }, decision: 'worker-reopened' });
  });

  it('logs once who closed and reopened a worker, why and for how long', () => {
    const { vmClaims, logged, open } = createWorker();
    vmClaims.claim(open, { holder: 'one', reason: move, until: 1000 }, 100);
    vmClaims.claim(open, { holder: 'one', reason: move, until: 1500 }, 200);
    vmClaims.release(open, 'one', 'refused', 300);
    expect(logged).toEqual([
      { data: { forMs: 900, holder: 'one', reason: move, worker: 'a' }, decision: 'worker-closed' },
      {
        data: {
          cause: 'refused',
          closedMs: 200,
          holder: 'one',
          others: [],
          reason: move,
          riskMs: 0,
          worker: 'a',
        },
        decision: 'worker-reopened',
      },
    ]);
  });

  it('opens a worker that has restarted, whoever closed its earlier incarnation', () => {
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a'), 0);
    const known = [...scheduler.workers.values()];
    for (const item of known) {
      scheduler.onReport(item, report(), 0, 1);
      scheduler.vmClaims.claim(item, { holder: 'one', reason: move, until: Infinity }, 2);
    }
    scheduler.onWorkerRegistered(worker('a', { bornAt: 2 }), 3);
    known.forEach((item) => {
      scheduler.onReport(item, report([], [], 2), 4, 5);
    });
    expect(known.map((item) => item.isAssignable(6))).toEqual([true]);
  });

  it('closes a worker with runs whose VM was taken until it has given a report that was requested later', () => {
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a'), 0);
    const known = [...scheduler.workers.values()];
    known.forEach((item) => {
      scheduler.onReport(item, report(), 0, 1);
    });
    scheduler.onJob(job('j', [step()]), [], 1, 1);
    for (const order of scheduler.plan(2, 2).starts) {
      scheduler.onStartAnswer(order, START_ANSWER.started, 2);
    }
    const isOpen = (now: number): boolean => known.every((item) => item.isAssignable(now));
    known.forEach((item) => {
      scheduler.onWorkerEnded(item, 10);
      scheduler.onReport(item, report([['j.0.0.0', 1]]), 9, 11);
    });
    expect(isOpen(12)).toBe(false);
    known.forEach((item) => {
      scheduler.onReport(item, report([['j.0.0.0', 1]]), 13, 14);
    });
    expect(isOpen(15)).toBe(true);
  });
});
