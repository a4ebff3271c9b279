import type { TimerService } from './timer-service';

/** Hybrid logical clock value: wall time in ms and a counter for events of the same ms. */
export interface HlcTime {
  count: number;
  ms: number;
}

/** Clock whose values order events causally over processes that exchange them. */
export interface HlcClock {
  /** Moves the clock past a time received from another process. */
  observe: (remote: HlcTime) => void;
  /** Next time of the clock. */
  stamp: () => HlcTime;
}

/** Header that carries a clock value with a call between processes. */
export const HLC_HEADER = 'sequoiaquay-hlc';

// Clocks are assumed to be within one minute of each other; a stamp further ahead is wrong and would
// keep this clock in the future.
const MAX_AHEAD_MS = 60_000;

/** Hybrid logical clock over the wall clock of a timer service. */
export class HybridClock implements HlcClock {
  #last: HlcTime = { count: 0, ms: 0 };

  constructor(private readonly timers: TimerService) {}

  observe(remote: HlcTime): void {
    if (remote.ms > this.timers.now() + MAX_AHEAD_MS) {
      return;
    }
    const ms = Math.max(remote.ms, this.#last.ms);
    const count = Math.max(remote.ms === ms ? remote.count : 0, this.#last.ms === ms ? this.#last.count : 0);
    this.#last = { count, ms };
  }

  stamp(): HlcTime {
    const now = this.timers.now();
    this.#last =
      now > this.#last.ms ? { count: 0, ms: now } : { count: this.#last.count + 1, ms: this.#last.ms };
    return this.#last;
  }
}

/** Header value of a clock time. */
export function formatHlc(time: HlcTime): string {
  return `${time.ms}.${time.count}`;
}

/** Clock time of a header value, or undefined when it is missing or malformed. */
export function parseHlc(text: string | null | undefined): HlcTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? '');
  return match === null ? undefined : { count: Number(match[2]), ms: Number(match[1]) };
}
