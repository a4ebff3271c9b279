import { SystemTimerService } from '@sequoiaquay/runtime';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StreamTail } from '../src/stream-tail';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const SETTINGS = { name: 'test', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 };

// Guards against deleted keys that are kept because the record of the deletion was dropped before it was
// read, and against a catch-up that resolves before all earlier records are read.
describe('StreamTail', () => {
  let stop = new AbortController();
  const seen = new Map<string, string | undefined>();

  beforeEach(() => {
    stop = new AbortController();
    seen.clear();
  });

  afterEach(() => {
    stop.abort();
  });

  function follow(stream: MemoryStream): StreamTail {
    const timers = new SystemTimerService();
    const tail = new StreamTail(stream, SETTINGS, (item) => seen.set(item.key, item.value), timers, quietLog);
    void tail.run(stop.signal);
    return tail;
  }

  function add(stream: MemoryStream, key: string, value: string | undefined): void {
    stream.records.push({ key, offset: stream.records.length, value });
  }

  it('reports a key as deleted when the record of its deletion was dropped before it was read', async () => {
    const stream = new MemoryStream();
    add(stream, 'a', '1');
    follow(stream);
    await expect.poll(() => seen.get('a')).toBe('1');
    add(stream, 'a', undefined);
    add(stream, 'b', '2');
    stream.first = 3;
    await expect.poll(() => seen.get('b')).toBe('2');
    expect(seen.has('a')).toBe(true);
    expect(seen.get('a')).toBeUndefined();
  });

  it('resolves a catch-up once all records stored before it are read', async () => {
    const stream = new MemoryStream();
    const tail = follow(stream);
    await expect.poll(() => tail.isLoaded).toBe(true);
    add(stream, 'c', '3');
    await tail.catchUp(stop.signal);
    expect(seen.get('c')).toBe('3');
  });
});
