import { beforeEach, describe, expect, it } from 'vitest';
import type { EndAcknowledgement, StartOrder, Worker } from '../../src/jobs';
import { CLOSURE, Scheduler, START_ANSWER } from '../../src/jobs';
import { answerClock, config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TASK = 'j.0.0.0';

/** Time in which a call without an answer may still be carried out, in ms. */
const LATE_CALL_MS = 15_000;

/** Longest time for which an acknowledgement waits until the workers answer all calls, in ms. */
const MAX_DELAY_MS = 3000;

/** Time without a missed call after which a worker gets an acknowledgement, in ms. */
const STEADY_MS = 1600;

interface Line {
  data: Record<string, unknown>;
  decision: string;
}

/** Leader with one worker that has listed two ends, which are stored. */
class Harness {
  readonly lines: Line[] = [];
  now = 100;
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, (decision, data) => {
    this.lines.push({ data, decision });
  });

  constructor() {
    this.scheduler.onConfig(config());
    this.register(1);
    this.report(1, 2);
  }

  get worker(): Worker {
    const found = this.scheduler.workers.get('a');
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  register(bornAt: number): void {
    this.scheduler.onWorkerRegistered(worker('a', { bornAt }), this.now);
  }

  /** Applies a report of an incarnation that lists the ends up to a number, and stores what was read. */
  report(bornAt: number, ends: number, running: [task: string, run: number][] = []): void {
    const ended = Array.from({ length: ends }, (_, index) => index + 1);
    const rows = ended.map((number): [number, string, number, 'done'] => [number, 'other.0.0.0', 1, 'done']);
    const askedAt = this.now + 5;
    this.now += 10;
    this.scheduler.onReport(this.worker, report(running, rows, bornAt), askedAt, this.now);
    for (const read of this.scheduler.plan(this.now, 0, false).ends) {
      read.worker.endsStored = read.number;
    }
  }

  assign(): StartOrder {
    this.scheduler.onJob(job('j', [step()]), [], this.now, 0);
    const [order] = this.scheduler.plan(this.now, 0).starts;
    if (order === undefined) {
      throw new Error('the task was not assigned');
    }
    return order;
  }

  begin(): EndAcknowledgement | undefined {
    return this.scheduler.beginAcknowledgement(this.worker, this.now);
  }

  beginUnanswered(): void {
    const sent = this.begin();
    if (sent === undefined) {
      throw new Error('no acknowledgement is due');
    }
    this.now += 700;
    this.scheduler.onAcknowledgementUnanswered(this.worker, 'silent', this.now);
  }

  tick(): void {
    this.scheduler.tick(this.now, 0);
  }

  linesOf(decision: string): Line['data'][] {
    return this.lines.filter((line) => line.decision === decision).map(({ data }) => data);
  }
}

describe('acknowledgement of ends', () => {
  let harness: Harness;

  beforeEach(() => {
    harness = new Harness();
  });

  it('is due for the ends that are stored, once', () => {
    const sent = harness.begin();
    expect(sent).toEqual({ bornAt: 1, number: 2, sentAt: harness.now });
    if (sent !== undefined) {
      harness.scheduler.onAcknowledgementAnswered(harness.worker, 1);
    }
    expect(harness.begin()).toBeUndefined();
  });

  // Guards against an end that a later incarnation drops, before it is read, for the acknowledgement of an earlier one.
  describe('with an order to start that a later incarnation may have carried out', () => {
    let order: StartOrder;

    beforeEach(() => {
      order = harness.assign();
    });

    it('is not sent while the order has no outcome', () => {
      harness.scheduler.onStartSent(order);
      expect(harness.begin()).toBeUndefined();
    });

    it('is not sent after an answer by an unknown incarnation until a report lists the run', () => {
      harness.scheduler.onStartSent(order);
      harness.scheduler.onStartAnswer(order, START_ANSWER.started, harness.now);
      expect(harness.begin()).toBeUndefined();
      harness.report(1, 2, [[TASK, 1]]);
      expect(harness.begin()).toMatchObject({ number: 2 });
    });

    it('is not sent after no answer until a report lists the run', () => {
      harness.scheduler.onStartSent(order);
      harness.scheduler.onStartAnswer(order, START_ANSWER.noAnswer, harness.now);
      harness.now += STEADY_MS;
      harness.report(1, 2);
      expect(harness.begin()).toBeUndefined();
      harness.report(1, 2, [[TASK, 1]]);
      expect(harness.begin()).toMatchObject({ number: 2 });
    });

    it('is sent while the order waits to be sent, and after an answer by the known incarnation', () => {
      expect(harness.begin()).toBeDefined();
      harness.worker.acknowledgement.settle();
      harness.scheduler.onStartSent(order);
      const clock = answerClock(harness.worker, harness.now);
      harness.scheduler.onStartAnswer(order, START_ANSWER.started, harness.now, clock);
      expect(harness.begin()).toBeDefined();
    });

    // Guards against ends that are never acknowledged to a busy worker whose answers are slow.
    it('closes the worker for other tasks when the order keeps it waiting', () => {
      harness.scheduler.onStartSent(order);
      harness.begin();
      harness.now += 2100;
      harness.begin();
      expect(harness.worker.closure(harness.now)?.reason).toBe(CLOSURE.acknowledging);
      harness.report(1, 2, [[TASK, 1]]);
      harness.begin();
      expect(harness.worker.isAssignable(harness.now)).toBe(true);
    });
  });

  // Guards against a worker that loses many calls and is closed again and again for acknowledgements among them.
  it('is put off for a while after a call without an answer', () => {
    harness.scheduler.onWorkerUnresponsive(harness.worker, harness.now);
    harness.report(1, 2);
    expect(harness.begin()).toBeUndefined();
    harness.now += STEADY_MS;
    expect(harness.begin()).toBeDefined();
  });

  // Guards against many workers that are closed at once when a share of all calls is lost.
  it('is put off while other workers stop answering, for 3 s at most', () => {
    for (const id of ['b', 'c']) {
      harness.scheduler.onWorkerRegistered(worker(id), harness.now);
    }
    const missOthers = (): void => {
      for (const [id, other] of harness.scheduler.workers) {
        other.isUnresponsive = false;
        if (id !== 'a') {
          harness.scheduler.onWorkerUnresponsive(other, harness.now);
        }
      }
    };
    for (let elapsedMs = 0; elapsedMs <= MAX_DELAY_MS; elapsedMs += 500) {
      missOthers();
      expect(harness.begin()).toBeUndefined();
      harness.now += 500;
    }
    missOthers();
    expect(harness.begin()).toBeDefined();
  });

  describe('without an answer', () => {
    beforeEach(() => {
      harness.beginUnanswered();
      harness.tick();
    });

    function isOpen(): boolean {
      return harness.worker.isAssignable(harness.now);
    }

    it('closes the worker as long as it may be carried out', () => {
      harness.report(1, 2);
      expect(harness.worker.closure(harness.now)?.reason).toBe(CLOSURE.acknowledgedLate);
      expect(harness.begin()).toBeUndefined();
      harness.now += LATE_CALL_MS;
      harness.tick();
      expect(isOpen()).toBe(true);
      expect(harness.begin()).toMatchObject({ number: 2 });
    });

    it('opens the worker once a report of the same incarnation shows that it was carried out', () => {
      harness.report(1, 0);
      expect(isOpen()).toBe(true);
      expect(harness.begin()).toBeUndefined();
    });

    it('keeps a later incarnation closed, whose report shows nothing about it', () => {
      harness.report(2, 0);
      expect(isOpen()).toBe(false);
      harness.now += LATE_CALL_MS;
      harness.tick();
      expect(isOpen()).toBe(true);
    });

    it('keeps a later incarnation closed whose entry was gone for a while', () => {
      harness.scheduler.onWorkerDeregistered('a');
      harness.now += 2000;
      harness.tick();
      harness.register(2);
      harness.report(2, 0);
      expect(isOpen()).toBe(false);
    });

    it('is forgotten with its worker once it is no longer carried out', () => {
      harness.scheduler.onWorkerDeregistered('a');
      harness.now += LATE_CALL_MS;
      harness.tick();
      expect(harness.scheduler.workers.size).toBe(0);
    });

    it('is named in the log, with the time since which it may be carried out', () => {
      expect(harness.linesOf('ends-acknowledgement-unanswered')).toEqual([
        { bornAt: 1, number: 2, reason: 'silent', sentAgoMs: 700, worker: 'a' },
      ]);
    });
  });

  it('that another incarnation answered is named in the log', () => {
    const sent = harness.begin();
    if (sent !== undefined) {
      harness.scheduler.onAcknowledgementAnswered(harness.worker, 2);
    }
    expect(harness.linesOf('ends-acknowledged-to-another')).toEqual([
      { answeredBy: 2, bornAt: 1, number: 2, worker: 'a' },
    ]);
    expect(harness.worker.endsAcknowledged).toBe(0);
    expect(harness.worker.acknowledgement.isPending).toBe(false);
  });
});

// Without these a run that never began can't be told from one whose end was dropped unread.
describe('a run that is lost', () => {
  it('is logged with the report that decided it', () => {
    const harness = new Harness();
    const order = harness.assign();
    const clock = answerClock(harness.worker, harness.now);
    harness.scheduler.onStartAnswer(order, START_ANSWER.started, harness.now, clock);
    harness.report(1, 3);
    expect(harness.linesOf('run-lost')).toEqual([
      {
        ageMs: 5,
        bornAt: 1,
        ended: 3,
        endsAcknowledged: 0,
        endsRead: 3,
        newest: 3,
        phase: 'running',
        provenBornAt: 1,
        reason: 'not-listed',
        run: 1,
        running: 0,
        task: TASK,
        worker: 'a',
      },
    ]);
  });
});
