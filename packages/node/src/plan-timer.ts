import type { TimerService } from '@sequoiaquay/runtime';

/** Shortest delay between an event and the plan that follows, in ms, so that one plan covers several events. */
const MIN_DELAY_MS = 2;

/** Longest delay between an event and the plan that follows, in ms. */
const MAX_DELAY_MS = 50;

/** Delay as a multiple of the duration of the last plan, so that planning leaves time for calls. */
const DELAY_PER_DURATION = 4;

/** Plans shortly after events; the longer the last plan took, the more events the next one covers. */
export class PlanTimer {
  #delayMs = MIN_DELAY_MS;
  #isScheduled = false;

  constructor(
    private readonly plan: () => void,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
  ) {}

  /** Plans after the delay, unless that is already due. */
  schedule(): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    this.timers.after(
      this.#delayMs,
      () => {
        this.run();
      },
      this.signal,
    );
  }

  /** Plans now. */
  run(): void {
    this.#isScheduled = false;
    const startedAt = this.timers.mono();
    this.plan();
    const delayMs = DELAY_PER_DURATION * (this.timers.mono() - startedAt);
    this.#delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, delayMs));
  }
}
