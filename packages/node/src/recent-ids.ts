/** The ids that were added last, up to a number. */
export class RecentIds {
  readonly #ids = new Set<string>();

  constructor(private readonly most: number) {}

  /** Adds an id; the oldest one goes when there are too many. */
  add(id: string): void {
    this.#ids.delete(id);
    this.#ids.add(id);
    const [oldest] = this.#ids;
    if (this.#ids.size > this.most && oldest !== undefined) {
      this.#ids.delete(oldest);
    }
  }

  /** Whether an id is among them. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }
}
