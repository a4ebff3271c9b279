import { onAbort } from './on-abort';

/** Callback of a timer; a promise that it returns is not awaited and must not reject. */
export type TimerCallback = () => void;

/** Clock and timers of a process. Components use this service instead of the timers of Node. */
export interface TimerService {
  /** Calls back once after a delay in ms, unless the signal aborts first. */
  after: (delayMs: number, callback: TimerCallback, signal: AbortSignal) => void;
  /** Calls back at a fixed interval in ms until the signal aborts. */
  every: (intervalMs: number, callback: TimerCallback, signal: AbortSignal) => void;
  /** Monotonic time in ms; stops only while the machine is suspended. */
  mono: () => number;
  /** Wall-clock time in ms since the epoch. */
  now: () => number;
  /** Resolves after a delay in ms or when the signal aborts, whichever is first. */
  sleep: (delayMs: number, signal: AbortSignal) => Promise<void>;
}

/** Timer service that uses the clocks and timers of Node. */
export class SystemTimerService implements TimerService {
  after(delayMs: number, callback: TimerCallback, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const timer = setTimeout(() => {
      stopListening();
      callback();
    }, delayMs);
    const stopListening = onAbort(signal, () => {
      clearTimeout(timer);
    });
  }

  every(intervalMs: number, callback: TimerCallback, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const timer = setInterval(callback, intervalMs);
    onAbort(signal, () => {
      clearInterval(timer);
    });
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
        stopListening();
        resolve();
      };
      const timer = setTimeout(finish, delayMs);
      const stopListening = onAbort(signal, finish);
    });
  }
}
