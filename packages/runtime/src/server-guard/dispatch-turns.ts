/** A body above this size, in bytes, counts as large: decoding it takes time. */
const LARGE_BODY_BYTES = 16_384;

/**
 * Turns of the event loop from a large body to the next. A turn accepts one connection, so that a client that comes
 * behind a crowd waits for a part of its bodies only.
 */
const TURNS_PER_LARGE_BODY = 8;

/**
 * Gives the requests of connections turns of the event loop. Addresses pipelines, of which all requests of a read would
 * go before any other client's, and many large bodies, which would stop the event loop while they are decoded.
 */
export class DispatchTurns<T extends object> {
  #isScheduled = false;
  /** Connections that had a request in this turn; their next one waits for another turn. */
  readonly #served = new Set<T>();
  #turnsUntilLarge = 0;
  /** Connections whose next request has a large body that waits for a later turn, in their order. */
  readonly #waiting = new Set<T>();

  /** `serveNext` is called for a connection whose request had to wait, and may call `take` again. */
  constructor(private readonly serveNext: (connection: T) => void) {}

  /** Takes a turn for the next request of a connection; false if the request has to wait. */
  take(connection: T, bodyBytes: number): boolean {
    if (this.#served.has(connection)) {
      return false;
    }
    if (bodyBytes > LARGE_BODY_BYTES) {
      if (this.#turnsUntilLarge > 0) {
        this.#waiting.add(connection);
        return false;
      }
      this.#turnsUntilLarge = TURNS_PER_LARGE_BODY;
    }
    this.#served.add(connection);
    this.#schedule();
    return true;
  }

  /** Forgets a connection that was closed. */
  forget(connection: T): void {
    this.#served.delete(connection);
    this.#waiting.delete(connection);
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#start();
      });
    }
  }

  #start(): void {
    const connections = [...this.#served];
    this.#served.clear();
    this.#isScheduled = false;
    this.#turnsUntilLarge = Math.max(0, this.#turnsUntilLarge - 1);
    this.#serveWaiting();
    for (const connection of connections) {
      this.serveNext(connection);
    }
    if (this.#turnsUntilLarge > 0) {
      this.#schedule();
    }
  }

  // A connection whose request was refused meanwhile takes no turn.
  #serveWaiting(): void {
    for (const connection of this.#waiting) {
      if (this.#turnsUntilLarge > 0) {
        return;
      }
      this.#waiting.delete(connection);
      this.serveNext(connection);
    }
  }
}
