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
 * Timeout of a call that goes on while data arrives. Its signal aborts with the parent, or with a
 * `TimeoutError` when no progress was reported for too long.
 */
export class ProgressTimeout {
  readonly #controller = new AbortController();
  readonly #endsAt: number;
  #deadline: number;
  #hasProgressed = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly parent: AbortSignal,
    private readonly limits: ProgressLimits,
  ) {
    const now = performance.now();
    this.#endsAt = now + limits.maxMs;
    this.#deadline = now + Math.min(limits.startMs, limits.maxMs);
    parent.addEventListener('abort', this.#onParent, { once: true });
    if (parent.aborted) {
      this.#onParent();
    } else {
      this.#schedule();
    }
  }

  /** Aborts at the end of the call's time. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Reports that data has arrived. */
  reportProgress(): void {
    this.#hasProgressed = true;
    const stallsAt = performance.now() + this.limits.stallMs;
    this.#deadline = Math.min(this.#endsAt, Math.max(this.#deadline, stallsAt));
  }

  /** Ends the timeout; its signal does not abort any more. */
  close(): void {
    clearTimeout(this.#timer);
    this.parent.removeEventListener('abort', this.#onParent);
  }

  readonly #onParent = (): void => {
    clearTimeout(this.#timer);
    this.#controller.abort(this.parent.reason);
  };

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
    this.#controller.abort(new DOMException(this.#message(), 'TimeoutError'));
  }

  #message(): string {
    const { maxMs, startMs, stallMs } = this.limits;
    return this.#hasProgressed && stallMs > 0
      ? `no further data within ${stallMs} ms, or no end within ${maxMs} ms`
      : `no answer within ${startMs} ms`;
  }
}
