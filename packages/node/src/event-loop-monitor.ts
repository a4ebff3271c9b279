import type { TimerService } from '@sequoiaquay/runtime';
import type { NodeMetrics } from './node-metrics';

/** Interval between measurements, in ms. */
const INTERVAL_MS = 100;

/** Measures how late the event loop runs its timers. */
export class EventLoopMonitor {
  #maxDelayMs = 0;

  constructor(
    private readonly metrics: NodeMetrics,
    private readonly timers: TimerService,
  ) {}

  /** Returns the longest delay since the previous call, in ms. */
  takeMaxDelayMs(): number {
    const max = this.#maxDelayMs;
    this.#maxDelayMs = 0;
    return max;
  }

  /** Measures until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const dueAt = this.timers.mono() + INTERVAL_MS;
      await this.timers.sleep(INTERVAL_MS, signal);
      const delayMs = Math.max(0, this.timers.mono() - dueAt);
      this.#maxDelayMs = Math.max(this.#maxDelayMs, delayMs);
      this.metrics.recordEventLoopDelay(delayMs);
    }
  }
}
