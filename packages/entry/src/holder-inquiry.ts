import type { Claim } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import { toRpcResult, createTimeoutSignal } from '@sequoiaquay/runtime';
import type { ClaimLookup, ClaimStatement } from './claim-lookup';
import type { ClaimHolder } from './claim-service';
import type { PeerClients } from './peer-clients';

/** What is known of a claim from its holder; `silent` when the holder is listed and doesn't answer. */
export type HolderAnswer =
  { state: 'gone' | 'silent' } | Exclude<ClaimStatement, { state: 'running' }> | { state: 'running' };

/** Longest time that one question to a holder takes, in ms. */
const ASK_TIMEOUT_MS = 1000;

/** Asks the holder of a claim how the request ended. */
export class HolderInquiry {
  constructor(
    private readonly replica: FleetReplica,
    private readonly peers: PeerClients,
    private readonly own: ClaimHolder,
    private readonly lookup: ClaimLookup,
  ) {}

  /** Asks once; `gone` when the process that made the claim has ended. */
  async ask(claim: Claim, signal: AbortSignal): Promise<HolderAnswer> {
    const question = { claim: claim.id, key: claim.key, scope: claim.scope };
    if (claim.entry === this.own.entry) {
      return claim.incarnation === this.own.incarnation ? this.lookup.state(question) : { state: 'gone' };
    }
    const member = this.replica.state.members.get(claim.entry);
    if (member?.incarnation !== claim.incarnation) {
      return { state: 'gone' };
    }
    const limit = createTimeoutSignal(signal, ASK_TIMEOUT_MS);
    const stated = await toRpcResult(
      this.peers.at(member.address).claims.outcome.query(question, { signal: limit }),
    );
    return stated.match(
      (answer) => fromStatement(answer, claim),
      () => ({ state: 'silent' }) as const,
    );
  }
}

// A process that was started again at the same address knows nothing of claims made before.
function fromStatement(answer: ClaimStatement, claim: Claim): HolderAnswer {
  return answer.state !== 'answered' && answer.incarnation !== claim.incarnation ? { state: 'gone' } : answer;
}
