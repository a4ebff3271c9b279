import { SystemTimerService } from '@sequoiaquay/runtime';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StreamTail } from '../src/stream-tail';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const SETTINGS = { gapMs: () => 5, name: 'test', retryMs: 5, waitMs: 0 };

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

  it('reports keys as dropped that went with history which was not read', async () => {
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

  it('has read all that was stored before a catch-up was asked for', async () => {
    const stream = new MemoryStream();
    const tail = follow(stream);
    await expect.poll(() => tail.loaded).toBe(true);
    add(stream, 'c', '3');
    await tail.catchUp(stop.signal);
    expect(seen.get('c')).toBe('3');
  });
});
