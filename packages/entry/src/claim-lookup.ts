import type { ClaimTable } from '@sequoiaquay/core';
import type { ClaimHolder } from './claim-service';
import type { ResultCache } from './result-cache';
import type { HeaderMap } from './target-answer';
import { toWholeAnswer } from './target-answer';

/** Query about a claim of this entry. */
export interface ClaimQuery {
  claim: string;
  key: string;
  scope: string;
}

/** Status of a claim as reported by its holder. */
export type ClaimStatus =
  | { bodyBase64: string; headers: HeaderMap; state: 'answered'; status: number }
  | { incarnation: number; state: 'not-kept' | 'running' | 'unknown' };

/** Looks up the status of claims of this entry for other entries. */
export class ClaimLookup {
  constructor(
    private readonly claims: ClaimTable,
    private readonly results: ResultCache,
    private readonly holder: ClaimHolder,
  ) {}

  /** Returns the status of a claim from the result cache or from the records read from the log. */
  getStatus(query: ClaimQuery): ClaimStatus {
    const cached = this.results.get(query.claim);
    const { incarnation } = this.holder;
    if (cached?.outcome === 'unknown') {
      return { incarnation, state: 'unknown' };
    }
    const claim = this.claims.find(query.scope, query.key);
    const recorded = claim?.id === query.claim ? claim.result : undefined;
    const answer = cached?.answer ?? (recorded === undefined ? undefined : toWholeAnswer(recorded));
    if (answer !== undefined) {
      return {
        bodyBase64: answer.body.toString('base64'),
        headers: answer.headers,
        state: 'answered',
        status: answer.status,
      };
    }
    return { incarnation, state: recorded === undefined ? 'running' : 'not-kept' };
  }
}
