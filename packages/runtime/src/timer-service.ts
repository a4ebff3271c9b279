/** Work that a timer runs; a returned promise must not reject. */
export type TimerTask = () => void;

/** Clock and timers of a process. Parts subscribe instead of calling the runtime's timers. */
export interface TimerService {
  /** Runs a task once after a delay in ms, unless the signal aborts first. */
  after: (delayMs: number, task: TimerTask, signal: AbortSignal) => void;
  /** Runs a task every period in ms until the signal aborts. */
  every: (periodMs: number, task: TimerTask, signal: AbortSignal) => void;
  /** Monotonic time in ms; stands still for nothing but machine suspension. */
  mono: () => number;
  /** Wall clock in ms since the epoch. */
  now: () => number;
  /** Resolves after a delay in ms or when the signal aborts, whichever is first. */
  sleep: (delayMs: number, signal: AbortSignal) => Promise<void>;
}

/** Timer service on the clock and timers of Node. */
export class SystemTimerService implements TimerService {
  after(delayMs: number, task: TimerTask, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const cancel = (): void => {
      clearTimeout(timer);
    };
    const timer = setTimeout(() => {
      signal.removeEventListener('abort', cancel);
      task();
    }, delayMs);
    signal.addEventListener('abort', cancel, { once: true });
  }

  every(periodMs: number, task: TimerTask, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const timer = setInterval(task, periodMs);
    signal.addEventListener(
      'abort',
      () => {
        clearInterval(timer);
      },
      { once: true },
    );
  }

  mono(): number {
    return performance.now();
  }

  now(): number {
    return Date.now();
  }

  sleep(delayMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve();
        return;
      }
      const finish = (): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, delayMs);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}
