import type { Logger, TimerService } from '@sequoiaquay/runtime';

/** Most lines about refused requests in one second. */
const MAX_LINES_PER_S = 50;

const WINDOW_MS = 1000;

/** Writes lines about refused requests; lines beyond a limit are counted, and the next line has their number. */
export class RefusalLog {
  #leftOut = 0;
  #linesInWindow = 0;
  #windowStart = -Infinity;

  constructor(
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Writes a line, or counts it if the limit is exceeded. */
  write(fields: object): void {
    const now = this.timers.mono();
    if (now - this.#windowStart > WINDOW_MS) {
      this.#windowStart = now;
      this.#linesInWindow = 0;
    }
    if (this.#linesInWindow >= MAX_LINES_PER_S) {
      this.#leftOut += 1;
      return;
    }
    this.#linesInWindow += 1;
    this.log.info({ ...fields, leftOut: this.#leftOut }, 'request refused');
    this.#leftOut = 0;
  }
}
