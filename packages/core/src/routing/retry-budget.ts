/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries a second that are always allowed. */
  floorPerSecond: number;
  /** Most retries saved up from successes. */
  maxSaved: number;
  /** Retries that each success allows. */
  perSuccess: number;
}

/** Settings of a retry budget that is given none. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = { floorPerSecond: 1, maxSaved: 20, perSuccess: 0.1 };

const MS_PER_SECOND = 1000;

/** Limits retries to a share of recent successes, with a floor. Times in ms. */
export class RetryBudget {
  #floor: number;
  #refilledAt: number | undefined;
  #saved = 0;

  constructor(private readonly settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET) {
    this.#floor = settings.floorPerSecond;
  }

  /** Counts a success of a request. */
  succeeded(): void {
    this.#saved = Math.min(this.settings.maxSaved, this.#saved + this.settings.perSuccess);
  }

  /** Takes one retry out of the budget; returns false when there is none. */
  take(now: number): boolean {
    this.#refill(now);
    if (this.#saved >= 1) {
      this.#saved -= 1;
      return true;
    }
    if (this.#floor >= 1) {
      this.#floor -= 1;
      return true;
    }
    return false;
  }

  #refill(now: number): void {
    const elapsed = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    const refilled = this.#floor + (elapsed / MS_PER_SECOND) * this.settings.floorPerSecond;
    this.#floor = Math.min(Math.max(1, this.settings.floorPerSecond), refilled);
  }
}
