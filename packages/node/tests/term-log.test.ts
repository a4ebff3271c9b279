import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import type { AppendFault } from './support/memory-stream';
import { TermLog } from '../src/term-log';
import { MemoryStream } from './support/memory-stream';

const RECORD = { key: 't.j.0.0.0', value: '1' };

function createLog(...faults: AppendFault[]): { log: TermLog; lost: string[]; stream: MemoryStream } {
  const stream = new MemoryStream();
  stream.faults = faults;
  const lost: string[] = [];
  const stop = new AbortController();
  const onLost = (reason: string): void => {
    lost.push(reason);
    stop.abort();
  };
  return { log: new TermLog(stream, 0, onLost, new SystemTimerService(), stop.signal), lost, stream };
}

// Guards against assignments that are stored twice, or stored after another leader's term has started.
describe('TermLog', () => {
  it('recognises its own append after a lost answer, and stores it once', async () => {
    const { log, lost, stream } = createLog('lost-after');
    expect(await log.append([RECORD])).toBe(true);
    expect(stream.records).toHaveLength(1);
    expect(lost).toEqual([]);
  });

  it('reports a lost term when another leader has written after an append without an answer', async () => {
    const { log, lost, stream } = createLog('lost-before');
    const done = log.append([RECORD]);
    stream.records.push({ key: 'leader', offset: 0, value: 'other' });
    expect(await done).toBe(false);
    expect(lost).toHaveLength(1);
  });

  // Actions that depend on stored records, such as acknowledging the end of a run, must not precede them.
  it('confirms an append, even one without records, only after all earlier records are stored', async () => {
    const { log, stream } = createLog('refused', 'refused');
    const order: string[] = [];
    const first = log.append([RECORD]).then(() => order.push(`first after ${stream.records.length}`));
    const empty = log.append([]).then((stored) => order.push(`empty ${String(stored)}`));
    await Promise.all([first, empty]);
    expect(order).toEqual(['first after 1', 'empty true']);
  });

  it('rejects an append without records when the term ends before earlier records are stored', async () => {
    const { log, stream } = createLog('lost-before');
    const first = log.append([RECORD]);
    const empty = log.append([]);
    stream.records.push({ key: 'leader', offset: 0, value: 'other' });
    expect(await Promise.all([first, empty])).toEqual([false, false]);
  });

  it('stores no records after the term has ended', async () => {
    const { log, stream } = createLog();
    stream.records.push({ key: 'leader', offset: 0, value: 'other' });
    expect(await log.append([RECORD])).toBe(false);
    expect(await log.append([RECORD])).toBe(false);
    expect(stream.records).toHaveLength(1);
  });

  it('sends no more in one append than a narrow link carries soon, and allows the time for it', async () => {
    const { log, stream } = createLog();
    const batches = Array.from({ length: 20 }, () =>
      Array.from({ length: 100 }, () => ({ ...RECORD, value: 'x'.repeat(200) })),
    );
    expect(new Set(await Promise.all(batches.map((batch) => log.append(batch))))).toEqual(new Set([true]));
    for (const append of stream.appends) {
      const bytes = append.records.reduce((sum, record) => sum + (record.value?.length ?? 0), 0);
      expect(bytes).toBeLessThan(140_000);
      expect(append.timeoutMs).toBeGreaterThan(400 + bytes / 125);
    }
    expect(stream.records).toHaveLength(2000);
  });

  // Otherwise one wide plan is refused again and again, and all records behind it wait.
  it('stores a plan of any size in appends that the store takes, in order', async () => {
    const { log, stream } = createLog();
    stream.maxAppendBytes = 40_000;
    const plan = Array.from({ length: 5000 }, (_, index) => ({
      key: `t.j.0.0.${index}`,
      value: 'x'.repeat(40),
    }));
    const stored = log.append(plan);
    const next = log.append([RECORD]);
    expect(await Promise.all([stored, next])).toEqual([true, true]);
    expect(stream.records.map(({ key }) => key)).toEqual([...plan, RECORD].map(({ key }) => key));
  });

  it('reports a plan as not stored when the term ends between two of its appends', async () => {
    const { log, stream } = createLog('none', 'lost-before');
    const plan = Array.from({ length: 2000 }, () => ({ ...RECORD, value: 'x'.repeat(40) }));
    const stored = log.append(plan);
    await expect.poll(() => stream.appends.length).toBe(2);
    stream.records.push({ key: 'leader', offset: stream.records.length, value: 'other' });
    expect(await stored).toBe(false);
  });

  it('divides an append that the store rejects, until it takes the parts', async () => {
    const { log, lost, stream } = createLog();
    stream.maxAppendBytes = 500;
    const plan = Array.from({ length: 100 }, (_, index) => ({
      key: `t.j.0.0.${index}`,
      value: 'x'.repeat(40),
    }));
    expect(await log.append(plan)).toBe(true);
    expect(stream.records.map(({ key }) => key)).toEqual(plan.map(({ key }) => key));
    expect(lost).toEqual([]);
  });

  // Repeating it would keep all records behind it from being stored, without a word.
  it('ends the term and names the record that the store never takes', async () => {
    const { log, lost, stream } = createLog();
    stream.maxAppendBytes = 500;
    const plan = [RECORD, { key: 't.j.0.0.1', value: 'x'.repeat(600) }, { ...RECORD, key: 't.j.0.0.2' }];
    expect(await log.append(plan)).toBe(false);
    expect(lost).toEqual([expect.stringContaining('t.j.0.0.1')]);
  });
});
