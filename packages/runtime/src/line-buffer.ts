import type { FdWriter } from './fd-writer';
import type { TimerService } from './timer-service';
import { MAX_WRITE_BYTES } from './fd-writer';

/** Limits of a line buffer. */
export interface LineBufferSettings {
  /** Maximum size of the lines that are waiting to be written, in bytes of UTF-8. */
  maxBytes: number;
  /** Maximum number of lines per second; further lines are dropped and counted. */
  maxLinesPerS: number;
}

interface Line {
  bytes: number;
  text: string;
}

const RATE_WINDOW_MS = 1000;

/** Time for which lines are collected before they are written, in ms; each write costs several system calls. */
const COLLECT_MS = 20;

const NEWLINE = 0x0a;

/**
 * Non-blocking writer for log lines. Lines wait in a bounded buffer and are written whole and in order.
 * Lines that exceed the buffer or the rate limit, or that can't be written, are dropped and counted, and
 * the number of dropped lines is written as a separate line.
 */
export class LineBuffer {
  #bytes = 0;
  /** Whether the last line that was written broke off after an error. */
  #isLineOpen = false;
  #lines: Line[] = [];
  #linesInWindow = 0;
  #unreportedDrops = 0;
  #windowStart = 0;
  #writing: Promise<void> | undefined;
  #stopCollecting = new AbortController();

  constructor(
    private readonly writer: FdWriter,
    private readonly settings: LineBufferSettings,
    private readonly timers: TimerService,
  ) {}

  /** Total number of lines dropped so far. */
  droppedLines = 0;

  /** Resolves when the lines queued so far are written or dropped, or after a limit in ms. */
  async flush(limitMs: number): Promise<void> {
    this.#stopCollecting.abort();
    const limit = new AbortController();
    await Promise.race([this.#writing, this.timers.sleep(limitMs, limit.signal)]);
    limit.abort();
  }

  /** Queues a line, which includes its line terminator, or drops it if a limit is exceeded. */
  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#canAccept(bytes)) {
      this.#lines.push({ bytes, text: line });
      this.#bytes += bytes;
    } else {
      this.#recordDrops(1);
    }
    this.#writing ??= this.#writeLines();
  }

  #canAccept(bytes: number): boolean {
    const now = this.timers.mono();
    if (now - this.#windowStart > RATE_WINDOW_MS) {
      this.#windowStart = now;
      this.#linesInWindow = 0;
    }
    this.#linesInWindow += 1;
    return this.#linesInWindow <= this.settings.maxLinesPerS && this.#bytes + bytes <= this.settings.maxBytes;
  }

  #recordDrops(count: number): void {
    this.#unreportedDrops += count;
    this.droppedLines += count;
  }

  async #writeLines(): Promise<void> {
    do {
      this.#stopCollecting = new AbortController();
      await this.timers.sleep(COLLECT_MS, this.#stopCollecting.signal);
      await this.#writeDropReport();
      do {
        await this.#writeBlock();
      } while (this.#bytes >= MAX_WRITE_BYTES);
    } while (this.#lines.length > 0);
    this.#writing = undefined;
  }

  async #writeDropReport(): Promise<void> {
    const dropped = this.#unreportedDrops;
    if (dropped === 0) {
      return;
    }
    const report = Buffer.from(`${JSON.stringify({ dropped, msg: 'log lines left out' })}\n`);
    if ((await this.#writeBytes(report)) === report.length) {
      this.#unreportedDrops -= dropped;
    }
  }

  async #writeBlock(): Promise<void> {
    const block = Buffer.from(this.#takeLines());
    const written = await this.#writeBytes(block);
    const unwritten = block.subarray(written);
    this.#recordDrops(unwritten.filter((byte) => byte === NEWLINE).length);
  }

  // A line that broke off is ended first, so that the next line is readable.
  async #writeBytes(bytes: Buffer): Promise<number> {
    if (this.#isLineOpen) {
      this.#isLineOpen = (await this.writer.write(Buffer.of(NEWLINE))) === 0;
    }
    const written = await this.writer.write(bytes);
    this.#isLineOpen ||= written > 0 && bytes[written - 1] !== NEWLINE;
    return written;
  }

  /** Takes the lines that fit into one write; a line that is longer than that alone. */
  #takeLines(): string {
    let text = '';
    let bytes = 0;
    let count = 0;
    for (const line of this.#lines) {
      if (count > 0 && bytes + line.bytes > MAX_WRITE_BYTES) {
        break;
      }
      text += line.text;
      bytes += line.bytes;
      count += 1;
    }
    this.#lines.splice(0, count);
    this.#bytes -= bytes;
    return text;
  }
}
