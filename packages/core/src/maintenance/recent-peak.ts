/** Time for which a value counts, in ms. */
const WINDOW_MS = 30_000;

/** Time for which values are kept together, in ms. */
const SLOT_MS = 1000;

interface Slot {
  peak: number;
  since: number;
}

/** Largest value of the last half minute. */
export class RecentPeak {
  #slots: Slot[];

  constructor(first: number, now: number) {
    this.#slots = [{ peak: first, since: now }];
  }

  /** Largest value that still counts. */
  get value(): number {
    return Math.max(0, ...this.#slots.map((slot) => slot.peak));
  }

  /** Takes a value at a monotonic time, in ms. */
  add(value: number, now: number): void {
    const last = this.#slots.at(-1);
    if (last !== undefined && now - last.since < SLOT_MS) {
      last.peak = Math.max(last.peak, value);
    } else {
      this.#slots.push({ peak: value, since: now });
    }
    this.#slots = this.#slots.filter((slot) => now - slot.since < WINDOW_MS);
  }
}
