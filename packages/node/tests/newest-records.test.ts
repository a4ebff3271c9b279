import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import type { StoredRecord } from '../src/ports/keyed-stream';
import { NewestPages } from '../src/newest-pages';
import { readNewest } from '../src/newest-records';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const timers = new SystemTimerService();
const { signal } = new AbortController();

function streamOf(...keys: string[]): MemoryStream {
  const stream = new MemoryStream();
  stream.pageSize = 2;
  stream.records.push(...keys.map((key, offset) => ({ key, offset, value: `${offset}` })));
  return stream;
}

async function read(stream: MemoryStream) {
  const records: StoredRecord[] = [];
  const onRecord = (record: StoredRecord): void => {
    records.push(record);
  };
  const newest = await readNewest(pagesOf(stream), onRecord, 100, timers, signal);
  return newest.map((result) => ({ ...result, records }));
}

function pagesOf(stream: MemoryStream): NewestPages {
  return new NewestPages(stream, 'test', timers, quietLog);
}

// Guards against keys that are missed at a page boundary, and against treating pages read at different times
// as a consistent snapshot.
describe('readNewest', () => {
  it('returns the newest record of each key from all pages', async () => {
    const stream = streamOf('a', 'b', 'c', 'd', 'e', 'b');
    const newest = (await read(stream))._unsafeUnwrap();
    expect(newest.records.map(({ key, value }) => [key, value])).toEqual([
      ['a', '0'],
      ['b', '5'],
      ['c', '2'],
      ['d', '3'],
      ['e', '4'],
    ]);
    expect(newest).toMatchObject({ end: 6, hasChanged: false });
  });

  it('returns the end at the first page and whether the stream has changed since', async () => {
    const stream = streamOf('a', 'b', 'c');
    stream.onPage = () => {
      stream.onPage = () => undefined;
      stream.records.push({ key: 'a', offset: 3, value: 'late' });
    };
    const newest = (await read(stream))._unsafeUnwrap();
    expect(newest).toMatchObject({ end: 3, hasChanged: true });
  });

  it('returns no records for an empty stream', async () => {
    const newest = await read(streamOf());
    expect(newest._unsafeUnwrap()).toEqual({ end: 0, hasChanged: false, records: [] });
  });

  it('reads a failed page again, and gives up after three failures in a row', async () => {
    const stream = streamOf('a', 'b', 'c', 'd', 'e');
    stream.newestFaults = [false, true, true, false, true, true, true];
    const newest = await read(stream);
    expect(newest._unsafeUnwrapErr()).toMatchObject({ kind: 'lost' });
    expect(stream.newestRequests).toEqual([undefined, 'b', 'b', 'b', 'd', 'd', 'd']);
  });
});
