import { SystemTimerService } from '@sequoiaquay/runtime';
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
});
