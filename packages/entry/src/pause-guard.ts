import type { TimerService } from '@sequoiaquay/runtime';

/** Period of the guard's own ticks, in ms. */
const TICK_MS = 100;

/** Period at which a waiter looks again, in ms. */
const RECHECK_MS = 50;

/** Settings of a pause guard. */
export interface PauseGuardSettings {
  /**
   * Longest gap between two ticks after which the fleet state still counts as current, in ms. A VM can be
   * released behind a paused entry only after its `member-gone`, which takes several seconds.
   */
  maxGapMs: number;
}

/**
 * Notices that the process was paused, by a gap on either clock, and holds new work back until the fleet
 * state has been refreshed by a call that began after the pause.
 */
export class PauseGuard {
  readonly counters = { pauses: 0, refreshes: 0 };
  #lastMono: number;
  #lastWall: number;
  #refreshing = false;
  #stale = false;

  constructor(
    private readonly refresh: () => Promise<boolean>,
    private readonly settings: PauseGuardSettings,
    private readonly timers: TimerService,
  ) {
    this.#lastMono = timers.mono();
    this.#lastWall = timers.now();
  }

  /** Watches for pauses until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#lastMono = this.timers.mono();
    this.#lastWall = this.timers.now();
    this.timers.every(
      TICK_MS,
      () => {
        this.#tick();
      },
      signal,
    );
  }

  /** Whether work may be sent on the present fleet state; also notices a pause that no tick has seen yet. */
  isFresh(): boolean {
    this.#tick();
    return !this.#stale;
  }

  /** Waits until the fleet state is fresh or the signal aborts. */
  async whenFresh(signal: AbortSignal): Promise<void> {
    while (!this.isFresh() && !signal.aborted) {
      await this.timers.sleep(RECHECK_MS, signal);
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
      this.#stale = true;
    }
    if (this.#stale && !this.#refreshing) {
      void this.#refreshOnce();
    }
  }

  async #refreshOnce(): Promise<void> {
    this.#refreshing = true;
    const pauses = this.counters.pauses;
    const refreshed = await this.refresh();
    // A pause during the refresh makes its answer stale again.
    this.isFresh();
    if (refreshed && pauses === this.counters.pauses) {
      this.counters.refreshes += 1;
      this.#stale = false;
    }
    this.#refreshing = false;
  }
}
