import { onAbort } from './on-abort';

/** Limits of a call that moves data. */
export interface ProgressLimits {
  /** Limit for the whole call, in ms. */
  maxMs: number;
  /** Limit from one progress to the next, in ms; the limit from the start is never shortened by it. */
  stallMs: number;
  /** Limit from the start of the call to its first progress, in ms. */
  startMs: number;
}

/**
 * Timeout of a call that goes on while data arrives. Reports the end of the call's time once: when the parent
 * aborts, with its reason, or with a `TimeoutError` when no progress was reported for too long.
 */
export class ProgressTimeout {
  readonly #endsAt: number;
  #deadline: number;
  #hasProgressed = false;
  readonly #stopListening: () => void;
  #timer: NodeJS.Timeout | undefined;

  /** The parent must not have aborted yet. */
  constructor(
    parent: AbortSignal,
    private readonly limits: ProgressLimits,
    private readonly onEnd: (reason: unknown) => void,
  ) {
    const now = performance.now();
    this.#endsAt = now + limits.maxMs;
    this.#deadline = now + Math.min(limits.startMs, limits.maxMs);
    this.#stopListening = onAbort(parent, () => {
      this.close();
      this.onEnd(parent.reason);
    });
    this.#schedule();
  }

  /** Reports that data has arrived. */
  reportProgress(): void {
    this.#hasProgressed = true;
    const stallsAt = performance.now() + this.limits.stallMs;
    this.#deadline = Math.min(this.#endsAt, Math.max(this.#deadline, stallsAt));
  }

  /** Ends the timeout; it reports nothing any more. */
  close(): void {
    clearTimeout(this.#timer);
    this.#stopListening();
  }

  #schedule(): void {
    this.#timer = setTimeout(
      () => {
        this.#onTimer();
      },
      Math.max(0, this.#deadline - performance.now()),
    );
    this.#timer.unref();
  }

  #onTimer(): void {
    if (performance.now() < this.#deadline) {
      this.#schedule();
      return;
    }
    this.close();
    this.onEnd(new DOMException(this.#message(), 'TimeoutError'));
  }

  #message(): string {
    const { maxMs, startMs, stallMs } = this.limits;
    return this.#hasProgressed && stallMs > 0
      ? `no further data within ${stallMs} ms, or no end within ${maxMs} ms`
      : `no answer within ${startMs} ms`;
  }
}
