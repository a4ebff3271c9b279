import { beforeEach, describe, expect, it } from 'vitest';
import type { Worker } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { answerClock, config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TASK = 'j.0.0.0';

interface Line {
  data: Record<string, unknown>;
  decision: string;
}

describe('acknowledgements of ends, in the log', () => {
  let known: Worker;
  let lines: Line[];
  let scheduler: Scheduler;

  beforeEach(() => {
    lines = [];
    scheduler = new Scheduler(SCHEDULER_SETTINGS, (decision, data) => lines.push({ data, decision }));
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('a'), 0);
    known = find();
    scheduler.onReport(known, report(), 0, 10);
    scheduler.onJob(job('j', [step()]), [], 10, 0);
  });

  function find(): Worker {
    const found = scheduler.workers.get('a');
    if (found === undefined) {
      throw new Error('the worker is not known');
    }
    return found;
  }

  function linesOf(decision: string): Line['data'][] {
    return lines.filter((line) => line.decision === decision).map(({ data }) => data);
  }

  // Without these a run that never began can't be told from one whose end was dropped unread.
  it('names the report that decided that a run is lost', () => {
    const [order] = scheduler.plan(10, 0).starts;
    if (order === undefined) {
      throw new Error('the task was not assigned');
    }
    const clock = answerClock(known, 20);
    scheduler.onStartAnswer(order, START_ANSWER.started, 20, clock);
    scheduler.onReport(known, report([], [[3, 'other.0.0.0', 1, 'done']]), 30, 45);
    expect(linesOf('run-lost')).toEqual([
      {
        ageMs: 15,
        bornAt: 1,
        ended: 1,
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

  it('names an acknowledgement that another incarnation answered', () => {
    scheduler.onAcknowledgementAnswered(known, { bornAt: 1, number: 7, sentAt: 100 }, 2);
    expect(linesOf('ends-acknowledged-to-another')).toEqual([
      { answeredBy: 2, bornAt: 1, number: 7, worker: 'a' },
    ]);
    expect(known.endsAcknowledged).toBe(0);
  });

  it('names an acknowledgement without an answer, and since when it may be carried out', () => {
    scheduler.onAcknowledgementUnanswered(known, { bornAt: 1, number: 7, sentAt: 100 }, 'silent', 900);
    expect(linesOf('ends-acknowledgement-unanswered')).toEqual([
      { bornAt: 1, number: 7, reason: 'silent', sentAgoMs: 800, worker: 'a' },
    ]);
  });
});
