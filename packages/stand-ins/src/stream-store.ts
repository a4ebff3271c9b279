/** A record of a stream. */
export interface StoredRecord {
  offset: number;
  value: unknown;
}

/** Append-only stream in memory with limited retention. */
export class StreamStore {
  #records: StoredRecord[] = [];
  #next = 0;

  constructor(private readonly retention: number) {}

  /** Offset after the last record. */
  get end(): number {
    return this.#next;
  }

  /** Oldest offset still kept. */
  get oldest(): number {
    return this.#records[0]?.offset ?? this.#next;
  }

  /** Appends values and gives the offset of the first. */
  append(values: readonly unknown[]): number {
    const first = this.#next;
    for (const value of values) {
      this.#records.push({ offset: this.#next, value });
      this.#next += 1;
    }
    if (this.#records.length > this.retention) {
      this.#records = this.#records.slice(-this.retention);
    }
    return first;
  }

  /** Records from an offset, at most `limit`. */
  read(from: number, limit: number): StoredRecord[] {
    const start = Math.max(0, from - this.oldest);
    return this.#records.slice(start, start + limit);
  }
}
