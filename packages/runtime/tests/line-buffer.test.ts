import { execFileSync } from 'node:child_process';
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import type { WriteBytes } from '../src';
import { FdWriter, LineBuffer, MAX_WRITE_BYTES, SystemTimerService } from '../src';

const FLUSH_LIMIT_MS = 20_000;

const NO_LIMITS = { maxBytes: 10_000_000, maxLinesPerS: 100_000 };

const timers = new SystemTimerService();

/** Lines of various sizes, some longer than a write, some with characters of several bytes. */
function createLines(count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const filler = (index % 3 === 0 ? 'ü' : 'x').repeat(index % 100 === 99 ? 9000 : (index * 37) % 700);
    return `${JSON.stringify({ filler, index })}\n`;
  });
}

interface PipeStub {
  /** Error code of all writes while it is set. */
  failure: string | undefined;
  received: Buffer[];
  writeBytes: WriteBytes;
  writeSizes: number[];
}

/** A pipe with space for a number of bytes that takes a part of a write, and whose reader empties it now and then. */
function createPipeStub(capacity: number): PipeStub {
  let space = capacity;
  const stub: PipeStub = {
    failure: undefined,
    received: [],
    writeBytes: (_fd, bytes, offset, length, callback) => {
      const code = stub.failure ?? (space === 0 ? 'EAGAIN' : undefined);
      const written = code === undefined ? Math.min(space, length) : 0;
      space = space === 0 ? capacity : space - written;
      stub.writeSizes.push(length);
      stub.received.push(Buffer.from(bytes.subarray(offset, offset + written)));
      setImmediate(() => {
        callback(code === undefined ? null : Object.assign(new Error(code), { code }), written);
      });
    },
    writeSizes: [],
  };
  return stub;
}

function textOf(parts: readonly Buffer[]): string {
  return Buffer.concat(parts).toString();
}

/** Opens both ends of a named pipe and calls back; returns what a reader gets that takes 6000 bytes each 2 ms. */
async function readSlowly(writeLines: (fd: number) => Promise<void>): Promise<string> {
  const directory = mkdtempSync(join(tmpdir(), 'line-buffer-'));
  const path = join(directory, 'pipe');
  execFileSync('mkfifo', [path]);
  const readFd = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
  const writeFd = openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
  const received: Buffer[] = [];
  const readPart = (): number => {
    const part = Buffer.alloc(6000);
    try {
      const size = readSync(readFd, part);
      received.push(part.subarray(0, size));
      return size;
    } catch {
      return 0;
    }
  };
  const reading = setInterval(readPart, 2);
  await writeLines(writeFd);
  clearInterval(reading);
  closeSync(writeFd);
  while (readPart() > 0);
  closeSync(readFd);
  rmSync(directory, { recursive: true });
  return textOf(received);
}

describe('LineBuffer', () => {
  it('writes every line whole and in order to a pipe with a slow reader', async () => {
    const lines = createLines(1500);
    const text = await readSlowly(async (fd) => {
      const buffer = new LineBuffer(new FdWriter(fd, timers), NO_LIMITS, timers);
      lines.forEach((line) => {
        buffer.write(line);
      });
      await buffer.flush(FLUSH_LIMIT_MS);
      expect(buffer.droppedLines).toBe(0);
    });
    expect(text === lines.join('')).toBe(true);
  });

  it('writes every line whole and in order if writes are partial or refused', async () => {
    const pipe = createPipeStub(1777);
    const buffer = new LineBuffer(new FdWriter(1, timers, pipe.writeBytes), NO_LIMITS, timers);
    const lines = createLines(300);
    for (const line of lines) {
      buffer.write(line);
      await new Promise(setImmediate);
    }
    await buffer.flush(FLUSH_LIMIT_MS);
    expect(textOf(pipe.received) === lines.join('')).toBe(true);
    expect(Math.max(...pipe.writeSizes)).toBeLessThanOrEqual(MAX_WRITE_BYTES);
  });

  it('counts and reports lines that exceed the buffer while the pipe is full', async () => {
    const pipe = createPipeStub(4096);
    pipe.failure = 'EAGAIN';
    const limits = { ...NO_LIMITS, maxBytes: 10 };
    const buffer = new LineBuffer(new FdWriter(1, timers, pipe.writeBytes), limits, timers);
    ['üüüü\n', 'üü\n', 'x\n'].forEach((line) => {
      buffer.write(line);
    });
    expect(buffer.droppedLines).toBe(2);
    pipe.failure = undefined;
    await buffer.flush(FLUSH_LIMIT_MS);
    expect(textOf(pipe.received)).toBe('{"dropped":2,"msg":"log lines left out"}\nüüüü\n');
  });

  it('drops lines that nobody reads and counts them, without a report for each attempt', async () => {
    const pipe = createPipeStub(4096);
    const buffer = new LineBuffer(new FdWriter(1, timers, pipe.writeBytes), NO_LIMITS, timers);
    pipe.failure = 'EPIPE';
    buffer.write('first\n');
    buffer.write('second\n');
    await buffer.flush(FLUSH_LIMIT_MS);
    expect(buffer.droppedLines).toBe(2);
    expect(pipe.writeSizes).toHaveLength(1);
    pipe.failure = undefined;
    buffer.write('third\n');
    await buffer.flush(FLUSH_LIMIT_MS);
    expect(textOf(pipe.received)).toBe('{"dropped":2,"msg":"log lines left out"}\nthird\n');
  });

  it('ends a line that broke off after an error before it writes the next', async () => {
    const pipe = createPipeStub(4096);
    const buffer = new LineBuffer(new FdWriter(1, timers, pipe.writeBytes), NO_LIMITS, timers);
    buffer.write(`${'x'.repeat(5000)}\n`);
    buffer.write('next\n');
    const flushed = buffer.flush(FLUSH_LIMIT_MS);
    while (pipe.received.length === 0) {
      await new Promise(setImmediate);
    }
    pipe.failure = 'ENOSPC';
    await flushed;
    pipe.failure = undefined;
    buffer.write('last\n');
    await buffer.flush(FLUSH_LIMIT_MS);
    const text = textOf(pipe.received);
    expect(text).toBe(`${'x'.repeat(4096)}\n{"dropped":2,"msg":"log lines left out"}\nlast\n`);
  });

  it('gives up a flush after its limit', async () => {
    const pipe = createPipeStub(4096);
    pipe.failure = 'EAGAIN';
    const buffer = new LineBuffer(new FdWriter(1, timers, pipe.writeBytes), NO_LIMITS, timers);
    buffer.write('line\n');
    const start = timers.mono();
    await buffer.flush(50);
    expect(timers.mono() - start).toBeLessThan(5000);
    pipe.failure = undefined;
    await buffer.flush(FLUSH_LIMIT_MS);
    expect(textOf(pipe.received)).toBe('line\n');
  });
});
