import type { Claim } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import { createTimeoutSignal, toRpcResult } from '@sequoiaquay/runtime';
import type { ClaimLookup, ClaimStatus } from './claim-lookup';
import type { ClaimHolder } from './claim-service';
import type { PeerClients } from './peer-clients';

/** Status of a claim; `gone` if its holder has ended, `silent` if a registered holder doesn't answer. */
export type HolderStatus =
  { state: 'gone' | 'silent' } | Exclude<ClaimStatus, { state: 'running' }> | { state: 'running' };

/** Timeout of one query to a holder, in ms. */
const QUERY_TIMEOUT_MS = 1000;

/** Queries the holder of a claim for the outcome of the claimed request. */
export class ClaimHolderClient {
  constructor(
    private readonly replica: FleetReplica,
    private readonly peers: PeerClients,
    private readonly self: ClaimHolder,
    private readonly lookup: ClaimLookup,
  ) {}

  /** Sends one query; returns `gone` if the process that made the claim has ended. */
  async queryStatus(claim: Claim, signal: AbortSignal): Promise<HolderStatus> {
    const query = { claim: claim.id, key: claim.key, scope: claim.scope };
    if (claim.entry === this.self.entry) {
      return claim.incarnation === this.self.incarnation ? this.lookup.getStatus(query) : { state: 'gone' };
    }
    const member = this.replica.state.members.get(claim.entry);
    if (member?.incarnation !== claim.incarnation) {
      return { state: 'gone' };
    }
    const timeout = createTimeoutSignal(signal, QUERY_TIMEOUT_MS);
    const status = await toRpcResult(
      this.peers.getClient(member.address).claims.outcome.query(query, { signal: timeout }),
    );
    return status.match(
      (answer) => toHolderStatus(answer, claim),
      () => ({ state: 'silent' }) as const,
    );
  }
}

// A process that was restarted at the same address has no results of claims made by an earlier incarnation.
function toHolderStatus(answer: ClaimStatus, claim: Claim): HolderStatus {
  return answer.state !== 'answered' && answer.incarnation !== claim.incarnation ? { state: 'gone' } : answer;
}
