/** Node of a linked queue. */
export interface QueueNode<T> {
  /** Whether the node is still in the queue. */
  isQueued: boolean;
  readonly item: T;
  next: QueueNode<T> | undefined;
  previous: QueueNode<T> | undefined;
}

/** First-in, first-out queue, as a doubly linked list: any node can be removed in constant time. */
export class LinkedQueue<T> {
  #first: QueueNode<T> | undefined;
  #last: QueueNode<T> | undefined;
  #size = 0;

  /** Oldest item, or undefined when the queue is empty. */
  get first(): T | undefined {
    return this.#first?.item;
  }

  /** Number of items. */
  get size(): number {
    return this.#size;
  }

  /** Appends an item and returns its node. */
  push(item: T): QueueNode<T> {
    const node: QueueNode<T> = { item, next: undefined, previous: this.#last, isQueued: true };
    if (this.#last === undefined) {
      this.#first = node;
    } else {
      this.#last.next = node;
    }
    this.#last = node;
    this.#size += 1;
    return node;
  }

  /** Removes a node; returns false when it has already been removed. */
  remove(node: QueueNode<T>): boolean {
    if (!node.isQueued) {
      return false;
    }
    if (node.previous === undefined) {
      this.#first = node.next;
    } else {
      node.previous.next = node.next;
    }
    if (node.next === undefined) {
      this.#last = node.previous;
    } else {
      node.next.previous = node.previous;
    }
    node.isQueued = false;
    this.#size -= 1;
    return true;
  }

  /** Iterates from the oldest item to the newest; the current item may be removed during the iteration. */
  *[Symbol.iterator](): Generator<T> {
    let node = this.#first;
    while (node !== undefined) {
      const next = node.next;
      yield node.item;
      node = next;
    }
  }
}
