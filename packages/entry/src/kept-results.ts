import type { WholeAnswer } from './target-answer';

/** How a claimed request of this entry ended, as far as repeats need it. */
export type KeptResult = { answer: WholeAnswer; outcome: 'answered' } | { outcome: 'unknown' };

/** Bytes counted for a result beside its body. */
const OVERHEAD_BYTES = 512;

/**
 * Results of this entry's claimed requests, for repeats that need a body too large for the log or that
 * arrive while the log is down. Bounded in bytes; the oldest results are dropped first.
 */
export class KeptResults {
  #bytes = 0;
  readonly #results = new Map<string, KeptResult>();

  constructor(private readonly maxBytes: number) {}

  /** Result of a claim, or undefined. */
  get(claimId: string): KeptResult | undefined {
    return this.#results.get(claimId);
  }

  /** Keeps the result of a claim. */
  put(claimId: string, result: KeptResult): void {
    this.#results.set(claimId, result);
    this.#bytes += sizeOf(result);
    for (const [oldest, dropped] of this.#results) {
      if (this.#bytes <= this.maxBytes) {
        return;
      }
      this.#results.delete(oldest);
      this.#bytes -= sizeOf(dropped);
    }
  }
}

function sizeOf(result: KeptResult): number {
  return OVERHEAD_BYTES + (result.outcome === 'answered' ? result.answer.body.length : 0);
}
