import type { JobRecord } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { ResultAsync } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import type { AppendFault } from './support/memory-stream';
import { JobWriter } from '../src/job-writer';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const timers = new SystemTimerService();

function createWriter(...faults: AppendFault[]): { stream: MemoryStream; writer: JobWriter } {
  const stream = new MemoryStream();
  stream.faults = faults;
  const signal = new AbortController().signal;
  return { stream, writer: new JobWriter(stream, () => undefined, timers, quietLog, signal) };
}

/** Duration of a slow append, in ms, and number of appends that are followed by a heartbeat. */
const APPEND_MS = 50;
const MAX_APPENDS = 60;

const RECORD = { id: 'a', kind: 'cancel' } as const;

// Guards against reporting a record as not stored although it may be, and against callers that wait through
// an outage of the store.
describe('JobWriter', () => {
  it('returns `refused` within a second, with nothing stored, when the store refuses appends', async () => {
    const { stream, writer } = createWriter('refused', 'refused', 'refused');
    const startedAt = timers.mono();
    expect(await writer.write(RECORD, timers.mono() + 3000)).toBe('refused');
    expect(timers.mono() - startedAt).toBeLessThan(1000);
    expect(stream.records).toEqual([]);
  });

  it('returns `unknown` after an append without an answer, even if the store refuses all later ones', async () => {
    const { writer } = createWriter('lost-before', ...Array.from({ length: 50 }, () => 'refused' as const));
    expect(await writer.write(RECORD, timers.mono() + 300)).toBe('unknown');
  });

  it('returns `stored` when a repeated append succeeds after a lost answer', async () => {
    const { writer } = createWriter('lost-after');
    expect(await writer.write(RECORD, timers.mono() + 3000)).toBe('stored');
  });

  it('retries a persistent write through an outage until it is stored', async () => {
    const { writer } = createWriter('refused', 'refused', 'refused', 'refused');
    expect(await writer.writePersistently(RECORD, timers.mono() + 3000)).toBe('stored');
  });

  it('allows one write per probe interval during an outage, and none while the store cannot be read', async () => {
    const { writer } = createWriter('refused', 'refused');
    await writer.write(RECORD, timers.mono() + 3000);
    expect(writer.isLikelyToSucceed(true)).toBe(false);
    await expect.poll(() => writer.isLikelyToSucceed(true)).toBe(true);
    expect(writer.isLikelyToSucceed(false)).toBe(false);
  });

  it('sends no more in one append than a narrow link carries soon, and allows the time for it', async () => {
    const { stream, writer } = createWriter();
    const writes = Array.from({ length: 120 }, (_, index) =>
      writer.write(submitOf(index, 4000), timers.mono() + 3000),
    );
    expect(new Set(await Promise.all(writes))).toEqual(new Set(['stored']));
    for (const append of stream.appends) {
      const bytes = append.records.reduce((sum, record) => sum + (record.value?.length ?? 0), 0);
      expect(bytes).toBeLessThan(140_000);
      expect(append.timeoutMs).toBeGreaterThan(400 + bytes / 125);
    }
  });

  it('returns `rejected` for a record that the store never takes, and stores the others', async () => {
    const { stream, writer } = createWriter();
    stream.maxAppendBytes = 2000;
    const deadline = timers.mono() + 3000;
    const writes = [100, 4000, 100].map((bytes, index) => writer.write(submitOf(index, bytes), deadline));
    expect(await Promise.all(writes)).toEqual(['stored', 'rejected', 'stored']);
    expect(writer.isLikelyToSucceed(true)).toBe(true);
  });

  it('rejects a record above the limits of the store without asking it', async () => {
    const stream = new MemoryStream();
    const limits = { callBytes: 10_000, recordBytes: 2000 };
    const { signal } = new AbortController();
    const writer = new JobWriter(stream, () => undefined, timers, quietLog, signal, limits);
    expect(await writer.write(submitOf(1, 4000), timers.mono() + 3000)).toBe('rejected');
    expect(stream.appends).toEqual([]);
  });

  it('stores a heartbeat of the leader ahead of records that wait', async () => {
    const { stream, writer } = createWriter();
    const writes = Array.from({ length: 300 }, (_, index) =>
      writer.write(submitOf(index, 4000), timers.mono() + 3000),
    );
    const heartbeat = { epoch: 1, kind: 'leader', node: 'n', released: false } as const;
    await Promise.all([...writes, writer.writePersistently(heartbeat, timers.mono() + 3000)]);
    const at = stream.appends.findIndex((append) => append.records.some((record) => record.key === 'leader'));
    expect(at).toBe(1);
  });

  // Guards against callers of a leader without an answer: while appends are slow, each has a heartbeat, beside which a
  // large record has no room.
  it('stores other records behind one that no append with a heartbeat has room for, and gives that up', async () => {
    const { stream, writer } = createWriter();
    const append = stream.append.bind(stream);
    let lastHeartbeat: Promise<unknown> = Promise.resolve();
    const beat = (): void => {
      const heartbeat = { epoch: 1, kind: 'leader', node: 'n', released: false } as const;
      lastHeartbeat = writer.writePersistently(heartbeat, Infinity);
    };
    let appends = 0;
    stream.append = (req) => {
      appends += 1;
      if (appends < MAX_APPENDS) {
        beat();
      }
      return new ResultAsync(delay(APPEND_MS).then(() => append(req)));
    };
    beat();
    const deadline = timers.mono() + 3000;
    const large = writer.write(submitOf(1, 200_000), deadline);
    const small = writer.write(submitOf(2, 4000), deadline);
    expect(await small).toBe('stored');
    expect(await large).toBe('refused');
    await lastHeartbeat;
    expect(stream.records.filter(({ key }) => key === 'j.1')).toEqual([]);
  });

  it('stores a large record by itself once no heartbeat waits, before later records', async () => {
    const { stream, writer } = createWriter();
    const deadline = timers.mono() + 3000;
    const sizes = [4000, 200_000, 4000, 4000];
    const writes = sizes.map((bytes, index) => writer.write(submitOf(index, bytes), deadline));
    expect(await Promise.all(writes)).toEqual(['stored', 'stored', 'stored', 'stored']);
    expect(stream.appends.map(({ records }) => records.map(({ key }) => key))).toEqual([
      ['j.0'],
      ['j.1'],
      ['j.2', 'j.3'],
    ]);
  });
});

function submitOf(index: number, bodyBytes: number): JobRecord {
  const spec = { body: 'x'.repeat(bodyBytes), steps: [] };
  return { job: { acceptedAt: 0, id: `${index}`, pool: 'p', queue: 'q', spec }, kind: 'submit' };
}
