/** Set of the most recently added ids, with a size limit. */
export class RecentIds {
  readonly #ids = new Set<string>();

  constructor(private readonly maxIds: number) {}

  /** Adds an id, and removes the oldest one if the limit is exceeded. */
  add(id: string): void {
    this.#ids.delete(id);
    this.#ids.add(id);
    const [oldest] = this.#ids;
    if (this.#ids.size > this.maxIds && oldest !== undefined) {
      this.#ids.delete(oldest);
    }
  }

  /** Returns whether the set holds an id. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }
}
