import type { WholeAnswer } from './target-answer';

/** Result of a claimed request, as needed to answer later requests with the same key. */
export type CachedResult = { answer: WholeAnswer; outcome: 'answered' } | { outcome: 'unknown' };

/** Estimated size of a result without its body, in bytes. */
const OVERHEAD_BYTES = 512;

/**
 * Caches the results of this entry's claimed requests. Later requests with the same key use it when the
 * body is too large for the log or while the log is unavailable. Bounded in bytes; evicts the oldest first.
 */
export class ResultCache {
  #bytes = 0;
  readonly #results = new Map<string, CachedResult>();

  constructor(private readonly maxBytes: number) {}

  /** Returns the result of a claim, or undefined if it is not cached. */
  get(claimId: string): CachedResult | undefined {
    return this.#results.get(claimId);
  }

  /** Adds the result of a claim and evicts the oldest results above the size limit. */
  put(claimId: string, result: CachedResult): void {
    this.#results.set(claimId, result);
    this.#bytes += sizeOf(result);
    for (const [oldest, evicted] of this.#results) {
      if (this.#bytes <= this.maxBytes) {
        return;
      }
      this.#results.delete(oldest);
      this.#bytes -= sizeOf(evicted);
    }
  }
}

function sizeOf(result: CachedResult): number {
  return OVERHEAD_BYTES + (result.outcome === 'answered' ? result.answer.body.length : 0);
}
