/** Time for which a call without an answer is remembered, in ms. */
const MEMORY_MS = 1500;

/** Share of the workers that have stopped answering within that time, from which on others are likely to follow. */
const WIDESPREAD_SHARE = 0.05;

/** Least number of such workers. */
const MIN_WIDESPREAD = 2;

/** Calls without an answer to workers that had answered until then. */
export class MissedCalls {
  #times: number[] = [];

  /** Records one at a monotonic time in ms. */
  record(now: number): void {
    this.#forgetBefore(now - MEMORY_MS);
    this.#times.push(now);
  }

  /** Whether many of a number of workers have just stopped answering, at a monotonic time in ms. */
  areWidespread(workerCount: number, now: number): boolean {
    this.#forgetBefore(now - MEMORY_MS);
    return this.#times.length >= Math.max(MIN_WIDESPREAD, WIDESPREAD_SHARE * workerCount);
  }

  /** Whether a worker whose last call without an answer was at a monotonic time in ms has just missed it. */
  static isRecent(missedAt: number, now: number): boolean {
    return now - missedAt < MEMORY_MS;
  }

  #forgetBefore(time: number): void {
    const firstKept = this.#times.findIndex((at) => at > time);
    if (firstKept !== 0) {
      this.#times = firstKept === -1 ? [] : this.#times.slice(firstKept);
    }
  }
}
