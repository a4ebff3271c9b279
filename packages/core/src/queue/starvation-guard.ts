/** Settings of a starvation guard, a subset of the queue settings. */
export interface StarvationGuardSettings {
  starvationBoundMs: number;
  urgentBurst: number;
  urgentTargetMs: number;
}

/** Prevents urgent work from starving other work: limits the number of consecutive urgent grants. */
export class StarvationGuard {
  #consecutiveUrgent = 0;

  constructor(private readonly settings: StarvationGuardSettings) {}

  /**
   * Whether non-urgent work goes first, given the longest waits in ms. Urgent work that has waited for half of its
   * target always goes first, because yielding at that age could make it miss the target.
   */
  shouldYield(urgentWaitMs: number, otherWaitMs: number): boolean {
    return (
      this.#consecutiveUrgent >= this.settings.urgentBurst &&
      otherWaitMs > this.settings.starvationBoundMs &&
      urgentWaitMs < this.settings.urgentTargetMs / 2
    );
  }

  /** Records a grant. */
  recordGrant(urgent: boolean): void {
    this.#consecutiveUrgent = urgent ? this.#consecutiveUrgent + 1 : 0;
  }
}
