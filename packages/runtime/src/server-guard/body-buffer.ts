/** Sizes of the first slab and of the others, in bytes. Most bodies fit in the first. */
const FIRST_SLAB_BYTES = 4096;
const SLAB_BYTES = 16_384;

/** Body of a request in slabs: chunks are copied, since a chunk of one byte takes some hundred bytes as a buffer. */
export class BodyBuffer {
  readonly #slabs: Buffer[] = [];
  #capacity = 0;
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Appends a chunk and returns by how many bytes the slabs have grown. */
  append(chunk: Buffer): number {
    const capacityBefore = this.#capacity;
    let taken = 0;
    while (taken < chunk.length) {
      const slab = this.#slabWithRoom();
      const start = slab.length - (this.#capacity - this.#length);
      const copied = chunk.copy(slab, start, taken);
      taken += copied;
      this.#length += copied;
    }
    return this.#capacity - capacityBefore;
  }

  /** Returns the whole body and empties the buffer. */
  take(): Buffer {
    const body =
      this.#slabs.length === 1
        ? (this.#slabs[0] ?? Buffer.alloc(0)).subarray(0, this.#length)
        : Buffer.concat(this.#slabs, this.#length);
    this.clear();
    return body;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#slabs.length = 0;
    this.#capacity = 0;
    this.#length = 0;
  }

  #slabWithRoom(): Buffer {
    const last = this.#slabs.at(-1);
    if (last !== undefined && this.#capacity > this.#length) {
      return last;
    }
    const slab = Buffer.allocUnsafeSlow(this.#slabs.length === 0 ? FIRST_SLAB_BYTES : SLAB_BYTES);
    this.#slabs.push(slab);
    this.#capacity += slab.length;
    return slab;
  }
}
