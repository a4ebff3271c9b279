/** Place of an item in a linked queue. */
export interface QueuePlace<T> {
  readonly item: T;
  next: QueuePlace<T> | undefined;
  previous: QueuePlace<T> | undefined;
  queued: boolean;
}

/** First-in, first-out queue whose places can be removed from the middle in constant time. */
export class LinkedQueue<T> {
  #first: QueuePlace<T> | undefined;
  #last: QueuePlace<T> | undefined;
  #size = 0;

  /** Oldest item, or undefined when the queue is empty. */
  get first(): T | undefined {
    return this.#first?.item;
  }

  /** Number of items. */
  get size(): number {
    return this.#size;
  }

  /** Appends an item and returns its place. */
  push(item: T): QueuePlace<T> {
    const place: QueuePlace<T> = { item, next: undefined, previous: this.#last, queued: true };
    if (this.#last === undefined) {
      this.#first = place;
    } else {
      this.#last.next = place;
    }
    this.#last = place;
    this.#size += 1;
    return place;
  }

  /** Removes a place; returns false when it was removed before. */
  remove(place: QueuePlace<T>): boolean {
    if (!place.queued) {
      return false;
    }
    if (place.previous === undefined) {
      this.#first = place.next;
    } else {
      place.previous.next = place.next;
    }
    if (place.next === undefined) {
      this.#last = place.previous;
    } else {
      place.next.previous = place.previous;
    }
    place.queued = false;
    this.#size -= 1;
    return true;
  }

  /** Items from the oldest to the newest; the current item may be removed during the iteration. */
  *[Symbol.iterator](): Generator<T> {
    let place = this.#first;
    while (place !== undefined) {
      const next = place.next;
      yield place.item;
      place = next;
    }
  }
}
