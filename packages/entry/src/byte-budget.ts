/** Bound on the bytes of request bodies that an entry holds. */
export class ByteBudget {
  #used = 0;

  constructor(private readonly limitBytes: number) {}

  /** Bytes held. */
  get used(): number {
    return this.#used;
  }

  /** Takes bytes; returns false, and takes none, when they exceed the bound. */
  take(bytes: number): boolean {
    if (this.#used + bytes > this.limitBytes) {
      return false;
    }
    this.#used += bytes;
    return true;
  }

  /** Gives bytes back. */
  give(bytes: number): void {
    this.#used -= bytes;
  }
}
