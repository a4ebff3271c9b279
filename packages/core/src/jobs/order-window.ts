interface WaitingItem<T> {
  bytes: number;
  item: T;
}

/**
 * Bounds the bytes of items that are being sent over a link; further items wait in order until earlier ones
 * are answered. An item larger than the bound is sent alone.
 */
export class OrderWindow<T> {
  #bytesInFlight = 0;
  #waiting: WaitingItem<T>[] = [];

  constructor(private readonly maxBytes: number) {}

  /** Adds an item of a size in bytes; returns the items to send now. */
  add(item: T, bytes: number): T[] {
    this.#waiting.push({ bytes, item });
    return this.#takeSendable();
  }

  /** Frees the bytes of an item that was answered or given up; returns the items to send now. */
  release(bytes: number): T[] {
    this.#bytesInFlight -= bytes;
    return this.#takeSendable();
  }

  /** Removes and returns the items that wait. */
  takeWaiting(): T[] {
    const waiting = this.#waiting.map(({ item }) => item);
    this.#waiting = [];
    return waiting;
  }

  #takeSendable(): T[] {
    const sendable: T[] = [];
    for (const { bytes, item } of this.#waiting) {
      if (this.#bytesInFlight > 0 && this.#bytesInFlight + bytes > this.maxBytes) {
        break;
      }
      this.#bytesInFlight += bytes;
      sendable.push(item);
    }
    this.#waiting = sendable.length === 0 ? this.#waiting : this.#waiting.slice(sendable.length);
    return sendable;
  }
}
