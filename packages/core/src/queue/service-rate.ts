/** Time over which a measured rate loses two thirds of its weight, in ms. */
const TIME_CONSTANT_MS = 2000;

/** Measured time that the assumed rate counts for, in ms. */
const ASSUMED_MS = 500;

/** Decaying rate at which a lane's work is granted, measured while work waits in the lane. */
export class ServiceRate {
  #at = 0;
  #busyMs = 0;
  #workMs = 0;

  /** Moves to a time in ms; `waiting` says whether work has waited since the last call. */
  advance(now: number, waiting: boolean): void {
    const elapsed = Math.max(0, now - this.#at);
    this.#at = now;
    if (!waiting || elapsed === 0) {
      return;
    }
    const kept = Math.exp(-elapsed / TIME_CONSTANT_MS);
    this.#busyMs = (this.#busyMs + elapsed) * kept;
    this.#workMs *= kept;
  }

  /** Counts granted work that had waited, in ms of expected run time. */
  add(workMs: number): void {
    this.#workMs += workMs;
  }

  /** Work granted per ms, in ms; `assumed` is used as far as little has been measured. */
  perMs(assumed: number): number {
    return (this.#workMs + assumed * ASSUMED_MS) / (this.#busyMs + ASSUMED_MS);
  }
}
