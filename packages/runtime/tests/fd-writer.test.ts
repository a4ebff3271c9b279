import { describe, expect, it } from 'vitest';
import type { WriteBytes } from '../src';
import { FdWriter, MAX_WRITE_BYTES, SystemTimerService } from '../src';

type Outcome = NodeJS.ErrnoException['code'] | number;

/** Writes as much as the outcomes say, one outcome a write; everything after the last one. */
function createWriteStub(outcomes: readonly Outcome[]): { received: Buffer[]; writeBytes: WriteBytes } {
  const remaining = [...outcomes];
  const received: Buffer[] = [];
  const writeBytes: WriteBytes = (_fd, bytes, offset, length, callback) => {
    const outcome = remaining.shift() ?? length;
    setImmediate(() => {
      if (typeof outcome === 'string') {
        callback(Object.assign(new Error(outcome), { code: outcome }), 0);
        return;
      }
      const written = Math.min(outcome, length);
      received.push(Buffer.from(bytes.subarray(offset, offset + written)));
      callback(null, written);
    });
  };
  return { received, writeBytes };
}

describe('FdWriter', () => {
  it.each<{ outcomes: Outcome[]; title: string }>([
    { outcomes: [3, 1], title: 'a partial write' },
    { outcomes: ['EAGAIN', 'EAGAIN'], title: 'a full pipe' },
    { outcomes: [7, 'EAGAIN', 4096, 'EINTR', 1], title: 'partial writes and a full pipe in turn' },
  ])('continues at the byte where it stopped after $title', async ({ outcomes }) => {
    const stub = createWriteStub(outcomes);
    const bytes = Buffer.from('0123456789'.repeat(1000));
    const written = await new FdWriter(1, new SystemTimerService(), stub.writeBytes).write(bytes);
    expect(written).toBe(bytes.length);
    expect(Buffer.concat(stub.received).equals(bytes)).toBe(true);
    expect(Math.max(...stub.received.map((part) => part.length))).toBeLessThanOrEqual(MAX_WRITE_BYTES);
  });

  it('returns the bytes written before another error', async () => {
    const stub = createWriteStub([10, 'EPIPE']);
    const written = await new FdWriter(1, new SystemTimerService(), stub.writeBytes).write(Buffer.alloc(100));
    expect(written).toBe(10);
  });
});
