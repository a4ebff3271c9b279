// Above this number, teams whose finish time is not after the virtual time are removed: they start at the
// virtual time in any case, so no state is lost.
const PRUNE_THRESHOLD_TEAMS = 512;

/** Weighted fair sharing between teams, by start-time fair queueing. */
export class FairShares {
  #virtualTime = 0;
  readonly #finishTimes = new Map<string, number>();

  /** Virtual time at which a team's next request starts. */
  virtualStartOf(team: string): number {
    return Math.max(this.#virtualTime, this.#finishTimes.get(team) ?? 0);
  }

  /** Charges a team for granted work, in ms of expected run time. */
  charge(team: string, workMs: number, weight: number): void {
    const start = this.virtualStartOf(team);
    this.#virtualTime = start;
    this.#finishTimes.set(team, start + workMs / weight);
    if (this.#finishTimes.size > PRUNE_THRESHOLD_TEAMS) {
      this.#prune();
    }
  }

  /** Corrects an earlier charge by the difference between the measured and the expected run time, in ms. */
  correct(team: string, differenceMs: number, weight: number): void {
    const finish = this.#finishTimes.get(team);
    if (finish !== undefined) {
      this.#finishTimes.set(team, finish + differenceMs / weight);
    }
  }

  #prune(): void {
    for (const [team, finish] of this.#finishTimes) {
      if (finish <= this.#virtualTime) {
        this.#finishTimes.delete(team);
      }
    }
  }
}
