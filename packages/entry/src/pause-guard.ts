import type { TimerService } from '@sequoiaquay/runtime';

/** Interval of the checks for a pause, in ms. */
const TICK_INTERVAL_MS = 100;

/** Interval at which waiters check for a fresh state, in ms. */
const RECHECK_INTERVAL_MS = 50;

/** Settings of a pause guard. */
export interface PauseGuardSettings {
  /**
   * Maximum gap between two ticks for which the fleet state is still considered current, in ms. A VM can be
   * released during a pause of this entry only after its `member-gone` record, which takes several seconds.
   */
  maxGapMs: number;
}

/**
 * Detects pauses of the process by a gap on the monotonic or the wall clock. After a pause, new work must
 * wait until a call that started after the pause has refreshed the fleet state.
 */
export class PauseGuard {
  readonly counters = { pauses: 0, refreshes: 0 };
  #lastMono: number;
  #lastWall: number;
  #isRefreshing = false;
  #isStale = false;

  constructor(
    private readonly refresh: () => Promise<boolean>,
    private readonly settings: PauseGuardSettings,
    private readonly timers: TimerService,
  ) {
    this.#lastMono = timers.mono();
    this.#lastWall = timers.now();
  }

  /** Checks for pauses until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#lastMono = this.timers.mono();
    this.#lastWall = this.timers.now();
    this.timers.every(
      TICK_INTERVAL_MS,
      () => {
        this.#tick();
      },
      signal,
    );
  }

  /** Returns whether the fleet state is fresh enough to send work; detects pauses since the last tick. */
  isFresh(): boolean {
    this.#tick();
    return !this.#isStale;
  }

  /** Waits until the fleet state is fresh or the signal aborts. */
  async whenFresh(signal: AbortSignal): Promise<void> {
    while (!this.isFresh() && !signal.aborted) {
      await this.timers.sleep(RECHECK_INTERVAL_MS, signal);
    }
  }

  #tick(): void {
    const mono = this.timers.mono();
    const wall = this.timers.now();
    const gap = Math.max(mono - this.#lastMono, wall - this.#lastWall);
    this.#lastMono = mono;
    this.#lastWall = wall;
    if (gap > this.settings.maxGapMs) {
      this.counters.pauses += 1;
      this.#isStale = true;
    }
    if (this.#isStale && !this.#isRefreshing) {
      void this.#refreshOnce();
    }
  }

  async #refreshOnce(): Promise<void> {
    this.#isRefreshing = true;
    const pauses = this.counters.pauses;
    const refreshed = await this.refresh();
    // A pause during the refresh makes its result stale.
    this.isFresh();
    if (refreshed && pauses === this.counters.pauses) {
      this.counters.refreshes += 1;
      this.#isStale = false;
    }
    this.#isRefreshing = false;
  }
}
