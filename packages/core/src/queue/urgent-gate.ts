/** Settings of the urgent gate. */
export interface UrgentGateSettings {
  starvationBoundMs: number;
  urgentBurst: number;
  urgentTargetMs: number;
}

/** Decides when work that is not urgent goes before urgent work. */
export class UrgentGate {
  #consecutive = 0;

  constructor(private readonly settings: UrgentGateSettings) {}

  /**
   * Whether other work is next, given the longest waits in ms. Urgent work that has waited for half its
   * start target goes first regardless: at that age another burst could make it miss the target.
   */
  othersFirst(urgentWaitMs: number, otherWaitMs: number): boolean {
    return (
      this.#consecutive >= this.settings.urgentBurst &&
      otherWaitMs > this.settings.starvationBoundMs &&
      urgentWaitMs < this.settings.urgentTargetMs / 2
    );
  }

  /** Counts a grant. */
  granted(urgent: boolean): void {
    this.#consecutive = urgent ? this.#consecutive + 1 : 0;
  }
}
