/** Binary min-heap of items ordered by time. */
export class EventHeap<T> {
  readonly #items: { at: number; item: T }[] = [];

  /** Time of the earliest item, or Infinity when the heap is empty. */
  get nextAt(): number {
    return this.#items[0]?.at ?? Infinity;
  }

  /** Adds an item with its time. */
  push(at: number, item: T): void {
    let index = this.#items.push({ at, item }) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#timeAt(parent) <= this.#timeAt(index)) {
        return;
      }
      this.#swap(parent, index);
      index = parent;
    }
  }

  /** Removes and returns the earliest item, or undefined when the heap is empty. */
  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length > 0 && last !== undefined) {
      this.#items[0] = last;
      this.#siftDown(0);
    }
    return first?.item;
  }

  #siftDown(from: number): void {
    let index = from;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#timeAt(left + 1) < this.#timeAt(left) ? left + 1 : left;
      if (this.#timeAt(child) >= this.#timeAt(index)) {
        return;
      }
      this.#swap(child, index);
      index = child;
    }
  }

  #timeAt(index: number): number {
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
