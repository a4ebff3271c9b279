/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Maximum number of retries that successes can accumulate. */
  maxSaved: number;
  /** Retries per second that are allowed without any success. */
  minPerSecond: number;
  /** Retries that each success adds to the budget. */
  perSuccess: number;
}

/** Default settings of a retry budget. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = { minPerSecond: 1, maxSaved: 20, perSuccess: 0.1 };

const MS_PER_SECOND = 1000;

/** Limits retries to a fraction of recent successes plus a minimum rate. Times in ms. */
export class RetryBudget {
  #minimum: number;
  #refilledAt: number | undefined;
  #accumulated = 0;

  constructor(private readonly settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET) {
    this.#minimum = settings.minPerSecond;
  }

  /** Records a successful request. */
  recordSuccess(): void {
    this.#accumulated = Math.min(this.settings.maxSaved, this.#accumulated + this.settings.perSuccess);
  }

  /** Consumes one retry of the budget; returns false when none is left. */
  tryConsume(now: number): boolean {
    this.#refill(now);
    if (this.#accumulated >= 1) {
      this.#accumulated -= 1;
      return true;
    }
    if (this.#minimum >= 1) {
      this.#minimum -= 1;
      return true;
    }
    return false;
  }

  #refill(now: number): void {
    const elapsed = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    const refilled = this.#minimum + (elapsed / MS_PER_SECOND) * this.settings.minPerSecond;
    this.#minimum = Math.min(Math.max(1, this.settings.minPerSecond), refilled);
  }
}
