import type { Outcome, WorkRecordOf } from '../records/work-record';

/** What the log says about a claimed key. */
export interface Claim {
  at: number;
  deadlineAt: number;
  digest: string;
  entry: string;
  id: string;
  incarnation: number;
  key: string;
  /** Present once the holder has recorded how the request ended. */
  result?: ClaimResult;
  scope: string;
}

/** How a claimed request ended. */
export interface ClaimResult {
  /** Whole body; missing when only the holder has it. */
  body?: string;
  /** Length of the whole body, in bytes. */
  bodyBytes?: number;
  bodyEncoding?: 'base64' | 'utf8';
  /** Headers of the answer; missing when only the holder has them. */
  headers?: Record<string, string | string[]>;
  outcome: Outcome;
  status?: number;
}

/** Verdict on a claim record. */
export const CLAIM_VERDICT = {
  duplicate: 'duplicate',
  expired: 'expired',
  held: 'held',
  lost: 'lost',
} as const;
/** Verdict on a claim record. */
export type ClaimVerdict = (typeof CLAIM_VERDICT)[keyof typeof CLAIM_VERDICT];

/** Settings of the claim table. */
export interface ClaimTableSettings {
  /** Time for which a key is remembered, and after that refused for the same time again, in ms. */
  keyWindowMs: number;
}

/**
 * Claims of idempotency keys, folded from the `work` stream in log order.
 * The earliest claim of a key holds until it ends as not run or its window has passed.
 */
export class ClaimTable {
  readonly #claims = new Map<string, Claim>();
  readonly #settings: ClaimTableSettings;

  constructor(settings: ClaimTableSettings) {
    this.#settings = settings;
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.#claims.size;
  }

  /** Applies a claim record and says whether it holds the key. */
  applyClaim(record: WorkRecordOf<'claim'>): ClaimVerdict {
    this.#forgetBefore(record.at - 2 * this.#settings.keyWindowMs);
    const slot = slotOf(record.scope, record.key);
    const known = this.#claims.get(slot);
    if (known?.id === record.id) {
      return CLAIM_VERDICT.duplicate;
    }
    if (known !== undefined && !this.#isReplaceable(known, record.at)) {
      return this.isExpired(known, record.at) ? CLAIM_VERDICT.expired : CLAIM_VERDICT.lost;
    }
    // Re-inserting keeps the map ordered by claim time for #forgetBefore.
    this.#claims.delete(slot);
    this.#claims.set(slot, toClaim(record));
    return CLAIM_VERDICT.held;
  }

  /** Applies an outcome record; only the first outcome of the holding claim counts. */
  applyOutcome(record: WorkRecordOf<'outcome'>): void {
    const known = this.#claims.get(slotOf(record.scope, record.key));
    if (known?.id !== record.claim || known.result !== undefined) {
      return;
    }
    known.result = {
      body: record.body,
      bodyBytes: record.bodyBytes,
      bodyEncoding: record.bodyEncoding,
      headers: record.headers,
      outcome: record.outcome,
      status: record.status,
    };
  }

  /** Claim that holds a key, or undefined. */
  find(scope: string, key: string): Claim | undefined {
    return this.#claims.get(slotOf(scope, key));
  }

  /** Whether a claim is past the window in which its outcome is given again. */
  isExpired(claim: Claim, now: number): boolean {
    return now - claim.at > this.#settings.keyWindowMs;
  }

  // A claim that ended as not run releases its key.
  #isReplaceable(claim: Claim, now: number): boolean {
    return claim.result?.outcome === 'not-run' || now - claim.at > 2 * this.#settings.keyWindowMs;
  }

  #forgetBefore(limit: number): void {
    for (const [slot, claim] of this.#claims) {
      if (claim.at >= limit) {
        return;
      }
      this.#claims.delete(slot);
    }
  }
}

function slotOf(scope: string, key: string): string {
  return `${scope}\n${key}`;
}

function toClaim(record: WorkRecordOf<'claim'>): Claim {
  return {
    at: record.at,
    deadlineAt: record.deadlineAt,
    digest: record.digest,
    entry: record.entry,
    id: record.id,
    incarnation: record.incarnation,
    key: record.key,
    scope: record.scope,
  };
}
