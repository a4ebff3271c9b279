import type { TimerService } from './timer-service';

/** Hybrid logical clock value: wall-clock time in ms and a counter that orders events of the same ms. */
export interface HlcTime {
  count: number;
  ms: number;
}

/** Clock whose values order events causally across the processes that exchange them. */
export interface HlcClock {
  /** Advances the clock past a time received from another process. */
  observe: (remote: HlcTime) => void;
  /** Advances the clock and returns its value. */
  stamp: () => HlcTime;
}

/** HTTP header that carries the sender's clock value in calls between processes. */
export const HLC_HEADER = 'sequoiaquay-hlc';

// Wall clocks are assumed to differ by at most one minute. A remote time further ahead is ignored, because
// it would hold this clock in the future.
const MAX_CLOCK_SKEW_MS = 60_000;

/** Hybrid logical clock based on the wall clock of a timer service. */
export class HybridClock implements HlcClock {
  #last: HlcTime = { count: 0, ms: 0 };

  constructor(private readonly timers: TimerService) {}

  observe(remote: HlcTime): void {
    if (remote.ms > this.timers.now() + MAX_CLOCK_SKEW_MS) {
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

/** Formats a clock value as a header value, `ms.count`. */
export function formatHlc(time: HlcTime): string {
  return `${time.ms}.${time.count}`;
}

/** Parses the clock value of a header; returns undefined if the header is missing or malformed. */
export function parseHlc(text: string | null | undefined): HlcTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? '');
  return match === null ? undefined : { count: Number(match[2]), ms: Number(match[1]) };
}
