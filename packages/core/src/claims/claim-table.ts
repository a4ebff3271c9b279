import type { Outcome, WorkRecordOf } from '../records/work-record';

/** Claim of an idempotency key, as recorded in the log. Times in ms since the epoch. */
export interface Claim {
  at: number;
  deadlineAt: number;
  digest: string;
  entry: string;
  id: string;
  incarnation: number;
  key: string;
  /** Result of the request; undefined until the holder has recorded it. */
  result?: ClaimResult;
  scope: string;
}

/** Result of a claimed request. */
export interface ClaimResult {
  /** Complete body; undefined when only the holder has it. */
  body?: string;
  /** Length of the complete body, in bytes. */
  bodyBytes?: number;
  bodyEncoding?: 'base64' | 'utf8';
  /** Headers of the answer; undefined when only the holder has them. */
  headers?: Record<string, string | string[]>;
  outcome: Outcome;
  status?: number;
}

/**
 * Result of applying a claim record: the claim holds the key (`held`), was applied before (`duplicate`), refers to a
 * key whose window has passed (`expired`) or to a key that another claim holds (`lost`).
 */
export const CLAIM_APPLY_RESULT = {
  duplicate: 'duplicate',
  expired: 'expired',
  held: 'held',
  lost: 'lost',
} as const;
/** Result of applying a claim record. */
export type ClaimApplyResult = (typeof CLAIM_APPLY_RESULT)[keyof typeof CLAIM_APPLY_RESULT];

/** Settings of the claim table. */
export interface ClaimTableSettings {
  /** Time for which the result of a key is returned again, in ms. After it, the key is refused for as long. */
  keyWindowMs: number;
}

/**
 * Claims of idempotency keys, built by applying the records of the `work` stream in log order.
 * The earliest claim of a key holds it until the request ends as `not-run` or twice the key window has passed.
 */
export class ClaimTable {
  readonly #claims = new Map<string, Claim>();
  readonly #settings: ClaimTableSettings;

  constructor(settings: ClaimTableSettings) {
    this.#settings = settings;
  }

  /** Number of stored keys. */
  get size(): number {
    return this.#claims.size;
  }

  /** Applies a claim record and returns whether it holds the key. */
  applyClaim(record: WorkRecordOf<'claim'>): ClaimApplyResult {
    this.#removeClaimsBefore(record.at - 2 * this.#settings.keyWindowMs);
    const mapKey = scopedKeyOf(record.scope, record.key);
    const existing = this.#claims.get(mapKey);
    if (existing?.id === record.id) {
      return CLAIM_APPLY_RESULT.duplicate;
    }
    if (existing !== undefined && !this.#isReplaceable(existing, record.at)) {
      return this.isExpired(existing, record.at) ? CLAIM_APPLY_RESULT.expired : CLAIM_APPLY_RESULT.lost;
    }
    // Re-inserting keeps the map ordered by claim time, which #removeClaimsBefore relies on.
    this.#claims.delete(mapKey);
    this.#claims.set(mapKey, toClaim(record));
    return CLAIM_APPLY_RESULT.held;
  }

  /** Applies an outcome record; all but the first outcome of the claim that holds the key are ignored. */
  applyOutcome(record: WorkRecordOf<'outcome'>): void {
    const existing = this.#claims.get(scopedKeyOf(record.scope, record.key));
    if (existing?.id !== record.claim || existing.result !== undefined) {
      return;
    }
    existing.result = {
      body: record.body,
      bodyBytes: record.bodyBytes,
      bodyEncoding: record.bodyEncoding,
      headers: record.headers,
      outcome: record.outcome,
      status: record.status,
    };
  }

  /** Returns the claim that holds a key, or undefined. */
  find(scope: string, key: string): Claim | undefined {
    return this.#claims.get(scopedKeyOf(scope, key));
  }

  /** Whether the window in which the result of a claim is returned again has passed. */
  isExpired(claim: Claim, now: number): boolean {
    return now - claim.at > this.#settings.keyWindowMs;
  }

  // A request that ended as not run releases its key.
  #isReplaceable(claim: Claim, now: number): boolean {
    return claim.result?.outcome === 'not-run' || now - claim.at > 2 * this.#settings.keyWindowMs;
  }

  #removeClaimsBefore(limit: number): void {
    for (const [mapKey, claim] of this.#claims) {
      if (claim.at >= limit) {
        return;
      }
      this.#claims.delete(mapKey);
    }
  }
}

function scopedKeyOf(scope: string, key: string): string {
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
