// Teams that have fallen behind the clock carry no state worth keeping.
const PRUNE_ABOVE = 512;

/** Weighted fair sharing between teams by start-time fair queueing. */
export class FairShares {
  #clock = 0;
  readonly #finish = new Map<string, number>();

  /** Virtual time at which a team's next request starts. */
  startOf(team: string): number {
    return Math.max(this.#clock, this.#finish.get(team) ?? 0);
  }

  /** Charges granted work, in ms, to a team. */
  charge(team: string, workMs: number, weight: number): void {
    const start = this.startOf(team);
    this.#clock = start;
    this.#finish.set(team, start + workMs / weight);
    if (this.#finish.size > PRUNE_ABOVE) {
      this.#prune();
    }
  }

  /** Corrects an earlier charge by the difference between measured and expected work, in ms. */
  correct(team: string, differenceMs: number, weight: number): void {
    const finish = this.#finish.get(team);
    if (finish !== undefined) {
      this.#finish.set(team, finish + differenceMs / weight);
    }
  }

  #prune(): void {
    for (const [team, finish] of this.#finish) {
      if (finish <= this.#clock) {
        this.#finish.delete(team);
      }
    }
  }
}
