/** Limits the total size of the request bodies that an entry holds, in bytes. */
export class ByteBudget {
  #usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Reserved bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Reserves bytes; returns false without reserving any if the limit would be exceeded. */
  tryReserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.limitBytes) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
