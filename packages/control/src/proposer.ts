import type { FleetProposal } from '@sequoiaquay/core';
import type { BatchAppender, FleetApplyResult, FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';

export type { FleetProposal } from '@sequoiaquay/core';

/** A proposal whose record was applied; `verdict` is the result, `offset` the offset of the record. */
export interface AppliedProposal {
  offset: number;
  recordId: string;
  verdict: FleetApplyResult;
}

/** A proposal whose result is not known in time; its record may still be accepted later. */
export interface UnconfirmedProposal {
  message: string;
  recordId: string;
}

/** Appends proposals to the `fleet` stream and waits until the replica has applied them. */
export class Proposer {
  constructor(
    private readonly appender: BatchAppender,
    private readonly replica: FleetReplica,
    private readonly timers: TimerService,
    private readonly by: string,
  ) {}

  /**
   * Appends a record with the given id, or a new one, and waits for the result of applying it.
   * Fails when the signal aborts first; the record may still be accepted then.
   */
  async propose(
    proposal: FleetProposal,
    signal: AbortSignal,
    by = this.by,
    recordId: string = randomUUID(),
  ): Promise<Result<AppliedProposal, UnconfirmedProposal>> {
    const record = { ...proposal, at: this.timers.now(), by, id: recordId, v: 1 };
    const result = this.replica.waitForResult(recordId, signal);
    this.appender.append(record, signal);
    const applied = await result;
    return applied === undefined
      ? err({ message: 'the log did not confirm the change in time', recordId })
      : ok({ recordId, ...applied });
  }
}
