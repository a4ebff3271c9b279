import type { NewestPages } from './newest-pages';
import type { StoredRecord } from './ports/keyed-stream';

/**
 * Load of a stream in progress: pages of newest records, and between them the records that were appended
 * since the first page, so that the load may take longer than the store keeps its history.
 */
export class StreamLoad {
  /** Whether new records must be read before the next page. */
  mustReadNew = false;
  readonly #deletedAt = new Map<string, number>();
  readonly #unseen: Set<string>;

  /** Begins a load; `knownKeys` are the keys known from before, which may have been deleted since. */
  constructor(
    readonly pages: NewestPages,
    knownKeys: Iterable<string>,
  ) {
    this.#unseen = new Set(knownKeys);
  }

  /** Keys known from before that neither the pages nor the new records contain. */
  get unseenKeys(): ReadonlySet<string> {
    return this.#unseen;
  }

  /** Returns whether a record is older than a deletion of its key that was read during the load. */
  isDeleted(record: StoredRecord): boolean {
    return (this.#deletedAt.get(record.key) ?? -Infinity) > record.offset;
  }

  /** Notes a record that was read, from a page or as a new record. */
  onRecord(record: StoredRecord): void {
    this.#unseen.delete(record.key);
    if (record.value === undefined) {
      this.#deletedAt.set(record.key, record.offset);
    }
  }
}
