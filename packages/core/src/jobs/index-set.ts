const BITS_PER_BYTE = 8;

/** Set of the indexes below a size, one bit each. */
export class IndexSet implements Iterable<number> {
  #bits: Uint8Array | undefined;

  constructor(private readonly size: number) {}

  /** Adds an index; returns false if it was in the set. */
  add(index: number): boolean {
    this.#bits ??= new Uint8Array(Math.ceil(this.size / BITS_PER_BYTE));
    const at = Math.floor(index / BITS_PER_BYTE);
    const before = this.#bits[at] ?? 0;
    const after = before | (1 << (index % BITS_PER_BYTE));
    this.#bits[at] = after;
    return after !== before;
  }

  /** Whether an index is in the set. */
  has(index: number): boolean {
    const byte = this.#bits?.[Math.floor(index / BITS_PER_BYTE)] ?? 0;
    return (byte & (1 << (index % BITS_PER_BYTE))) !== 0;
  }

  /** Yields the indexes in ascending order. */
  *[Symbol.iterator](): Generator<number> {
    for (let index = 0; this.#bits !== undefined && index < this.size; index += 1) {
      if (this.has(index)) {
        yield index;
      }
    }
  }
}
