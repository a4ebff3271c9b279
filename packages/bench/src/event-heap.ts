/** Binary heap of timed items; the earliest comes out first. */
export class EventHeap<T> {
  readonly #items: { at: number; item: T }[] = [];

  /** Time of the earliest item, or Infinity. */
  get nextAt(): number {
    return this.#items[0]?.at ?? Infinity;
  }

  /** Adds an item. */
  push(at: number, item: T): void {
    let index = this.#items.push({ at, item }) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#at(parent) <= this.#at(index)) {
        return;
      }
      this.#swap(parent, index);
      index = parent;
    }
  }

  /** Removes the earliest item. */
  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length > 0 && last !== undefined) {
      this.#items[0] = last;
      this.#sink(0);
    }
    return first?.item;
  }

  #sink(from: number): void {
    let index = from;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#at(left + 1) < this.#at(left) ? left + 1 : left;
      if (this.#at(child) >= this.#at(index)) {
        return;
      }
      this.#swap(child, index);
      index = child;
    }
  }

  #at(index: number): number {
    return this.#items[index]?.at ?? Infinity;
  }

  #swap(a: number, b: number): void {
    const [itemA, itemB] = [this.#items[a], this.#items[b]];
    if (itemA !== undefined && itemB !== undefined) {
      this.#items[a] = itemB;
      this.#items[b] = itemA;
    }
  }
}
