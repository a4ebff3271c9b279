/** A stored value and its offset in the stream. */
export interface StoredRecord {
  offset: number;
  value: unknown;
}

/** In-memory append-only stream that drops its oldest records beyond a maximum number. */
export class StreamStore {
  #records: StoredRecord[] = [];
  #nextOffset = 0;

  constructor(private readonly maxRecords: number) {}

  /** Offset that the next record gets. */
  get end(): number {
    return this.#nextOffset;
  }

  /** Offset of the oldest retained record, or `end` when the stream is empty. */
  get oldest(): number {
    return this.#records[0]?.offset ?? this.#nextOffset;
  }

  /** Appends values and returns the offset of the first. */
  append(values: readonly unknown[]): number {
    const firstOffset = this.#nextOffset;
    for (const value of values) {
      this.#records.push({ offset: this.#nextOffset, value });
      this.#nextOffset += 1;
    }
    if (this.#records.length > this.maxRecords) {
      this.#records = this.#records.slice(-this.maxRecords);
    }
    return firstOffset;
  }

  /** Returns at most `limit` records, starting at an offset or at the oldest retained record. */
  read(fromOffset: number, limit: number): StoredRecord[] {
    const startIndex = Math.max(0, fromOffset - this.oldest);
    return this.#records.slice(startIndex, startIndex + limit);
  }
}
