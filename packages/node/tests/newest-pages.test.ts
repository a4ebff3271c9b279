import type { Logger } from '@sequoiaquay/runtime';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { createLogger } from 'bunyan';
import { okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import { NewestPages } from '../src/newest-pages';
import { MemoryStream } from './support/memory-stream';

const { signal } = new AbortController();

function recordingLog(lines: Record<string, unknown>[]): Logger {
  const write = (line: object): void => {
    lines.push({ ...line });
  };
  return createLogger({ name: 'test', streams: [{ stream: { write }, type: 'raw' }] });
}

// Guards against a load that goes on for long without a line, and against a line for each page of a long load.
describe('NewestPages', () => {
  it('logs the progress and the failures of a load, in few lines', async () => {
    const stream = new MemoryStream();
    stream.pageSize = 1;
    stream.newestFaults = [false, true, true, true];
    Array.from({ length: 100 }, (_, index) => 1000 + index).forEach((key, offset) => {
      stream.records.push({ key: `${key}`, offset, value: 'é' });
    });
    const lines: Record<string, unknown>[] = [];
    const pages = new NewestPages(stream, 'jobs', new SystemTimerService(), recordingLog(lines));
    while (pages.hasMore) {
      await pages.readNext(100, signal);
    }
    const loaded = lines.filter((line) => line.msg === 'page loaded');
    const failed = lines.filter((line) => line.msg === 'page not loaded');
    expect(loaded.map((line) => line.pages)).toEqual([1, 2, 4, 8, 16, 32, 64]);
    expect(failed.map((line) => line.failures)).toEqual([1, 2]);
    expect(failed[0]).toMatchObject({ error: 'no answer', keys: 1, pages: 1, stream: 'jobs' });
    expect(pages.progress).toMatchObject({ bytes: 600, failures: 3, keys: 100, pages: 100 });
  });

  // Guards against a load that never ends since a key that is not valid text can't be continued after.
  it('ends at a page that the store returns again', async () => {
    const stream = new MemoryStream();
    stream.records.push({ key: '\ufffd', offset: 0, value: 'x' });
    stream.readNewestPage = () => okAsync({ end: 1, hasMore: true, records: [...stream.records] });
    const lines: Record<string, unknown>[] = [];
    const pages = new NewestPages(stream, 'registry', new SystemTimerService(), recordingLog(lines));
    for (let calls = 0; pages.hasMore && calls < 10; calls += 1) {
      await pages.readNext(100, signal);
    }
    expect(pages.progress.pages).toBe(2);
    expect(lines.filter((line) => line.msg === 'page repeated, load ends there')).toHaveLength(1);
  });
});
