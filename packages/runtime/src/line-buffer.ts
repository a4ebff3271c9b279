import { write } from 'node:fs';

/** Bounds of a line buffer. */
export interface LineBufferSettings {
  /** Most bytes that wait to be written. */
  maxBytes: number;
  /** Most lines a second; lines beyond are left out and counted. */
  maxLinesPerS: number;
}

const SECOND_MS = 1000;

/**
 * Output for log lines that never blocks: lines wait in a bounded buffer, and what does not fit or comes
 * too fast is left out and counted in a line of its own.
 */
export class LineBuffer {
  #bytes = 0;
  #dropped = 0;
  #lines: string[] = [];
  #linesInWindow = 0;
  #windowStart = 0;
  #writing = false;

  constructor(
    private readonly fd: number,
    private readonly settings: LineBufferSettings,
    private readonly mono: () => number,
  ) {}

  /** Number of lines left out so far. */
  dropped = 0;

  /** Takes one line, with its line end. */
  write(line: string): void {
    if (!this.#hasRoom(line)) {
      this.#dropped += 1;
      this.dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    this.#flush();
  }

  #hasRoom(line: string): boolean {
    const now = this.mono();
    if (now - this.#windowStart > SECOND_MS) {
      this.#windowStart = now;
      this.#linesInWindow = 0;
    }
    this.#linesInWindow += 1;
    return (
      this.#linesInWindow <= this.settings.maxLinesPerS && this.#bytes + line.length <= this.settings.maxBytes
    );
  }

  #flush(): void {
    if (this.#writing || this.#lines.length === 0) {
      return;
    }
    this.#writing = true;
    setImmediate(() => {
      const text = this.#takeText();
      write(this.fd, text, () => {
        this.#writing = false;
        this.#flush();
      });
    });
  }

  #takeText(): string {
    if (this.#dropped > 0) {
      this.#lines.push(`${JSON.stringify({ dropped: this.#dropped, msg: 'log lines left out' })}\n`);
      this.#dropped = 0;
    }
    const text = this.#lines.join('');
    this.#lines = [];
    this.#bytes = 0;
    return text;
  }
}
