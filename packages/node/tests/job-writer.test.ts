import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import type { AppendFault } from './support/memory-stream';
import { JobWriter } from '../src/job-writer';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const timers = new SystemTimerService();

function make(...faults: AppendFault[]): { stream: MemoryStream; writer: JobWriter } {
  const stream = new MemoryStream();
  stream.faults = faults;
  const signal = new AbortController().signal;
  return { stream, writer: new JobWriter(stream, () => undefined, timers, quietLog, signal) };
}

const RECORD = { id: 'a', kind: 'cancel' } as const;

describe('JobWriter', () => {
  it('tells a caller soon, and truly, that nothing was stored when the store refuses', async () => {
    const { stream, writer } = make('refused', 'refused', 'refused');
    const startedAt = timers.mono();
    expect(await writer.write(RECORD, timers.mono() + 3000)).toBe('refused');
    expect(timers.mono() - startedAt).toBeLessThan(1000);
    expect(stream.records).toEqual([]);
  });

  it('never says that nothing was stored after an append without an answer', async () => {
    const { writer } = make('lost-before', ...Array.from({ length: 50 }, () => 'refused' as const));
    expect(await writer.write(RECORD, timers.mono() + 300)).toBe('unknown');
  });

  it('finds out by a repeat that a record is stored', async () => {
    const { writer } = make('lost-after');
    expect(await writer.write(RECORD, timers.mono() + 3000)).toBe('stored');
  });

  it('writes through an outage what has to be stored', async () => {
    const { writer } = make('refused', 'refused', 'refused', 'refused');
    expect(await writer.writePersistently(RECORD, timers.mono() + 3000)).toBe('stored');
  });

  it('tries no caller during an outage but one in a while', async () => {
    const { writer } = make('refused', 'refused');
    await writer.write(RECORD, timers.mono() + 3000);
    expect(writer.isPromising(true)).toBe(false);
    await expect.poll(() => writer.isPromising(true)).toBe(true);
    expect(writer.isPromising(false)).toBe(false);
  });
});
