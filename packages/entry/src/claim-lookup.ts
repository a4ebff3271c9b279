import type { ClaimTable } from '@sequoiaquay/core';
import type { ClaimHolder } from './claim-service';
import type { KeptResults } from './kept-results';
import type { HeaderMap } from './target-answer';
import { toWholeAnswer } from './target-answer';

/** Question of another entry about a claim of this one. */
export interface ClaimQuestion {
  claim: string;
  key: string;
  scope: string;
}

/** What the holder says about one of its claims. */
export type ClaimStatement =
  | { bodyBase64: string; headers: HeaderMap; state: 'answered'; status: number }
  | { incarnation: number; state: 'not-kept' | 'running' | 'unknown' };

/** Answers other entries' questions about the claims of this entry. */
export class ClaimLookup {
  constructor(
    private readonly claims: ClaimTable,
    private readonly kept: KeptResults,
    private readonly holder: ClaimHolder,
  ) {}

  /** States how a claim ended, from the kept results or the fold. */
  state(question: ClaimQuestion): ClaimStatement {
    const kept = this.kept.get(question.claim);
    const { incarnation } = this.holder;
    if (kept?.outcome === 'unknown') {
      return { incarnation, state: 'unknown' };
    }
    const claim = this.claims.find(question.scope, question.key);
    const folded = claim?.id === question.claim ? claim.result : undefined;
    const answer = kept?.answer ?? (folded === undefined ? undefined : toWholeAnswer(folded));
    if (answer !== undefined) {
      return {
        bodyBase64: answer.body.toString('base64'),
        headers: answer.headers,
        state: 'answered',
        status: answer.status,
      };
    }
    return { incarnation, state: folded === undefined ? 'running' : 'not-kept' };
  }
}
