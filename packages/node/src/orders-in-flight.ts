/** Start orders of the leader between their plan and their answer. */
export class OrdersInFlight {
  readonly #plannedAt = new Map<number, number>();
  #nextId = 0;

  /** Number of orders without an answer. */
  get count(): number {
    return this.#plannedAt.size;
  }

  /** Adds an order that was planned at a monotonic time in ms; returns its id. */
  add(plannedAt: number): number {
    this.#nextId += 1;
    this.#plannedAt.set(this.#nextId, plannedAt);
    return this.#nextId;
  }

  /** Time since the oldest order without an answer was planned, in ms; 0 if there is none. */
  oldestAgeMs(now: number): number {
    const [oldest] = this.#plannedAt.values();
    return oldest === undefined ? 0 : now - oldest;
  }

  /** Removes an order; returns the time since it was planned, in ms. */
  remove(id: number, now: number): number {
    const plannedAt = this.#plannedAt.get(id) ?? now;
    this.#plannedAt.delete(id);
    return now - plannedAt;
  }
}
