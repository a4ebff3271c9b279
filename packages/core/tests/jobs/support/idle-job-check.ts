/** Time without disturbance before jobs are checked, in ms: longer than leases and late orders last. */
const CALM_MS = 4000;

/** Longest time for which a job that can run may have nothing running, in ms. */
const MAX_IDLE_MS = 3000;

/** Checks that no job has nothing running for long although there is room for it. */
export class IdleJobCheck {
  #disturbedAt = -Infinity;
  #idleSince = new Map<string, number>();

  /** Handles a fault that may delay the start of tasks. */
  onDisturbance(now: number): void {
    this.#disturbedAt = now;
  }

  /** Returns descriptions of the jobs, of those that are idle with room for them, that have been so for too long. */
  check(idle: readonly string[], now: number): string[] {
    this.#idleSince = new Map(idle.map((id) => [id, this.#idleSince.get(id) ?? now]));
    const calmSince = this.#disturbedAt + CALM_MS;
    return [...this.#idleSince]
      .filter(([, since]) => now - Math.max(since, calmSince) > MAX_IDLE_MS)
      .map(([id, since]) => `${id} could run and has had nothing running for ${now - since} ms`);
  }
}
