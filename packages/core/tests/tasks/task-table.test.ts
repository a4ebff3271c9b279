import type { Task, TaskRecord } from '@sequoiaquay/core';
import { TaskTable } from '@sequoiaquay/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { cancel, done, failed, lease, renew, snapshot, task } from './task-records';

const SEED = 20_261;
const SKEW_MS = 100;
const KEEP_MS = 1_000_000;

const KINDS = [
  'cancel',
  'snapshot',
  'snapshot',
  'done',
  'failed',
  'failed',
  'lease',
  'lease',
  'lease',
  'renew',
] as const;

/**
 * Step of a random log: a record of some kind about one of three tasks. `attempt` is relative to the attempt that
 * the record should have: mostly 0, sometimes stale or ahead, as in records of fenced lease holders.
 */
const stepArb = fc.record({
  after: fc.integer({ max: 400, min: 0 }),
  attempt: fc.constantFrom(0, 0, 0, 0, -1, 1),
  cause: fc.constantFrom('job', 'lapsed', 'moved', 'no-room', 'not-started', 'stopped'),
  kind: fc.constantFrom(...KINDS),
  lateBy: fc.integer({ max: 4, min: 1 }),
  repeat: fc.boolean(),
  task: fc.constantFrom('t1', 't2', 't3'),
  worker: fc.constantFrom('w1', 'w2', 'w3'),
} as const);
type Step = typeof stepArb extends fc.Arbitrary<infer T> ? T : never;

function toRecord(step: Step, known: Task | undefined, at: number, id: string): TaskRecord {
  if (known === undefined || step.kind === 'snapshot') {
    return task(step.task, at, { key: `key-${step.task}`, repeatable: step.task !== 't3' });
  }
  const due = known.attempt + (step.kind === 'lease' ? 1 : 0);
  const attempt = Math.max(1, due + step.attempt);
  switch (step.kind) {
    case 'cancel':
      return cancel(id, step.task, at);
    case 'done':
      return done(id, step.task, attempt, at);
    case 'failed':
      return failed(id, step.task, attempt, step.cause, at);
    case 'lease':
      return lease(id, step.task, attempt, step.worker, at, at + 300);
    case 'renew':
      return renew(id, step.task, attempt, at, at + 300);
  }
}

/**
 * Builds a log as real writers do. A snapshot has the state of a replica that has read all records so far, and is
 * appended up to four steps later, which models a slow append.
 */
function buildLog(steps: readonly Step[]): TaskRecord[] {
  const table = new TaskTable({ keepFinishedMs: KEEP_MS });
  const log: TaskRecord[] = [];
  const late: { due: number; record: TaskRecord }[] = [];
  const append = (record: TaskRecord): void => {
    table.apply(log.length, record);
    log.push(record);
  };
  let at = 1000;
  for (const [index, step] of steps.entries()) {
    at += step.after;
    const known = table.find(step.task);
    if (step.kind === 'snapshot' && known !== undefined) {
      const record = snapshot(`r${index}`, structuredClone(known), log.length, at);
      late.push({ due: index + step.lateBy, record });
      continue;
    }
    const record = toRecord(step, known, at, `r${index}`);
    for (const copy of step.repeat && record.kind !== 'task' ? [record, record] : [record]) {
      append(copy);
    }
    for (const one of late.filter((waiting) => waiting.due === index)) {
      append(one.record);
    }
  }
  return log;
}

function replay(log: readonly TaskRecord[], from = 0): TaskTable {
  const table = new TaskTable({ keepFinishedMs: KEEP_MS });
  table.resetTo(from);
  for (const [offset, record] of log.entries()) {
    if (offset >= from) {
      table.apply(offset, record);
    }
  }
  return table;
}

describe('TaskTable with random logs', () => {
  const params = { numRuns: 1000, seed: SEED };
  const logArb = fc.array(stepArb, { maxLength: 80 }).map(buildLog);

  // Guards against a record of a fenced lease holder that ends, extends or duplicates a later attempt.
  it(`accepts results only for the current attempt, of which there is at most one (seed ${SEED})`, () => {
    const property = fc.property(logArb, (log) => {
      const table = new TaskTable({ keepFinishedMs: KEEP_MS });
      const accepted = new Set<string>();
      for (const [offset, record] of log.entries()) {
        const id = record.kind === 'task' ? record.id : record.task;
        const before = structuredClone(table.find(id));
        const result = table.apply(offset, record);
        const after = table.find(id);
        if (record.kind === 'task' && result.isOk()) {
          accepted.add(id);
        }
        expect(after !== undefined || !accepted.has(id)).toBe(true);
        expect(after?.state === 'running').toBe(after?.lease !== undefined);
        if (record.kind === 'task-lease' && result.isOk()) {
          expect(before).toMatchObject({ attempt: record.attempt - 1, state: 'pending' });
          expect(after?.attempt).toBe(record.attempt);
        } else if ('attempt' in record && result.isOk()) {
          expect(before).toMatchObject({ attempt: record.attempt, state: 'running' });
        }
        if (before?.endedAt !== undefined) {
          expect(after).toEqual(before);
        }
      }
    });
    fc.assert(property, params);
  });

  // Guards against a second run of a task that must not run twice.
  it(`starts another attempt of a non-repeatable task only after one that never ran (seed ${SEED})`, () => {
    const property = fc.property(logArb, (log) => {
      const ended = replay(log).find('t3')?.tries ?? [];
      const attempts = replay(log).find('t3')?.attempt ?? 0;
      const ran = ended.filter((one) => one.cause !== 'no-room' && one.cause !== 'not-started');
      expect(ran.every((one) => one.attempt === attempts)).toBe(true);
    });
    fc.assert(property, params);
  });

  // Guards against replicas with different tasks, including one that starts after the first records were trimmed.
  it(`builds the same tasks on every replica, from any start offset (seed ${SEED})`, () => {
    const property = fc.property(logArb, fc.nat(80), (log, cut) => {
      const whole = replay(log);
      const late = replay(log, Math.min(cut, log.length));
      for (const id of ['t1', 't2', 't3']) {
        expect(replay(log).find(id)).toEqual(whole.find(id));
        const seen = late.find(id);
        if (seen !== undefined) {
          expect(seen).toEqual(whole.find(id));
        }
      }
    });
    fc.assert(property, params);
  });
});

describe('TaskTable', () => {
  // Guards against a key that refers to two tasks or to a different body.
  it('returns the existing task for a known key and rejects another body', () => {
    const table = new TaskTable({ keepFinishedMs: KEEP_MS });
    table.apply(0, task('a', 1, { key: 'k' }));
    expect(table.apply(1, task('b', 2, { key: 'k' }))._unsafeUnwrap().id).toBe('a');
    expect(table.apply(2, task('c', 3, { digest: 'other', key: 'k' }))._unsafeUnwrapErr()).toBe(
      'key-mismatch',
    );
    expect(table.size).toBe(1);
  });

  // Guards against a task that is retried forever, and against lost reasons of failed attempts.
  it('ends a task that failed on enough workers and keeps the reason of each attempt', () => {
    const table = new TaskTable({ keepFinishedMs: KEEP_MS });
    table.apply(0, task('a', 1));
    for (const n of [1, 2, 3]) {
      table.apply(2 * n, lease(`l${n}`, 'a', n, `w${n}`, n, 1000));
      table.apply(2 * n + 1, failed(`f${n}`, 'a', n, 'job', n));
    }
    expect(table.find('a')).toMatchObject({ failedOn: ['w1', 'w2', 'w3'], state: 'failed' });
    expect(table.find('a')?.tries.map((one) => one.reason)).toEqual(['because', 'because', 'because']);
    expect(table.health.streakOf('w1').failures).toBe(0);
  });

  // Guards against ending a lease while its holder still renews it.
  it('rejects a lapse before the lease and the clock skew allowance have passed', () => {
    const table = new TaskTable({ keepFinishedMs: KEEP_MS });
    table.apply(0, task('a', 1));
    table.apply(1, lease('l1', 'a', 1, 'w1', 1, 1000));
    expect(table.apply(2, failed('f1', 'a', 1, 'lapsed', 1000 + SKEW_MS))._unsafeUnwrapErr()).toBe(
      'not-lapsed',
    );
    table.apply(3, failed('f2', 'a', 1, 'lapsed', 1001 + SKEW_MS));
    expect(table.find('a')).toMatchObject({ attempt: 1, state: 'pending' });
    expect(table.apply(4, done('d1', 'a', 1, 1200))._unsafeUnwrapErr()).toBe('wrong-attempt');
  });

  // Guards against memory use that grows with the number of tasks ever accepted.
  it('removes finished tasks after their retention time and old answers beyond the limit', () => {
    const table = new TaskTable({ keepFinishedMs: 1000, maxAnswers: 10 });
    for (let n = 0; n < 2000; n += 1) {
      table.apply(3 * n, task(`t${n}`, 10 * n, { key: `k${n}` }));
      table.apply(3 * n + 1, lease(`l${n}`, `t${n}`, 1, 'w1', 10 * n, 10 * n + 100));
      table.apply(3 * n + 2, done(`d${n}`, `t${n}`, 1, 10 * n));
    }
    expect(table.size).toBeLessThan(110);
    expect(table.find('t1980')).toMatchObject({ answer: undefined, state: 'done' });
    expect(table.find('t1999')?.answer?.body).toBe('answer');
  });
});
