/** Age of the last heartbeat in ms from which on a candidate asks the leader. */
const MIN_ASK_AGE_MS = 1200;

/** Interval between questions, in ms. */
const ASK_INTERVAL_MS = 250;

/** Time for which an answer of the leader counts, in ms. */
const ANSWER_VALIDITY_MS = 600;

/**
 * Age of the last heartbeat in ms from which on no answer counts. A leader extends leases for longer than this
 * after its last stored heartbeat.
 */
export const MAX_CONFIRMED_AGE_MS = 4200;

/**
 * Decides whether a node may still count on a leader whose heartbeat is late. Load addressed: when the store
 * becomes slow, the appends of all nodes fill the partition within a tenth of a second, and the next heartbeat
 * waits behind them for longer than the take-over limit.
 */
export class LeaderContact {
  #askedAt = -Infinity;
  #confirmedAt = -Infinity;
  #epoch = -1;
  #heartbeatAt = -Infinity;

  /** Notes a heartbeat that was read at a time in ms. */
  onHeartbeat(epoch: number, now: number): void {
    if (epoch !== this.#epoch) {
      this.#confirmedAt = -Infinity;
    }
    this.#epoch = epoch;
    this.#heartbeatAt = now;
  }

  /** Notes an answer of the leader of a term, which leads and reads the store, at a time in ms. */
  onConfirmed(epoch: number, now: number): void {
    if (epoch === this.#epoch) {
      this.#confirmedAt = now;
    }
  }

  /** Returns whether to ask the leader now; the question counts as asked. */
  takeQuestion(now: number): boolean {
    const ageMs = now - this.#heartbeatAt;
    const isDue = ageMs >= MIN_ASK_AGE_MS && ageMs < MAX_CONFIRMED_AGE_MS;
    if (!isDue || now - this.#askedAt < ASK_INTERVAL_MS) {
      return false;
    }
    this.#askedAt = now;
    return true;
  }

  /** Returns whether the leader has answered lately although its heartbeat is late. */
  isConfirmed(now: number): boolean {
    return now - this.#heartbeatAt < MAX_CONFIRMED_AGE_MS && now - this.#confirmedAt < ANSWER_VALIDITY_MS;
  }
}
