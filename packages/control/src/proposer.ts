import type { FleetProposal } from '@sequoiaquay/core';
import type { BatchAppender, FleetReplica, FleetApplyResult } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';

export type { FleetProposal } from '@sequoiaquay/core';

/** A judged proposal; `offset` is that of its record. */
export interface Proposed {
  offset: number;
  recordId: string;
  verdict: FleetApplyResult;
}

/** No verdict came in time: the record may or may not be accepted later. */
export interface NoVerdict {
  message: string;
  recordId: string;
}

/** Appends proposals to the `fleet` stream and waits for the verdict of the fold. */
export class Proposer {
  constructor(
    private readonly appender: BatchAppender,
    private readonly replica: FleetReplica,
    private readonly timers: TimerService,
    private readonly by: string,
  ) {}

  /** Proposes a record, under a given id or a new one, and gives the fold's verdict, unless the signal aborts first. */
  async propose(
    proposal: FleetProposal,
    signal: AbortSignal,
    by = this.by,
    recordId: string = randomUUID(),
  ): Promise<Result<Proposed, NoVerdict>> {
    const record = { ...proposal, at: this.timers.now(), by, id: recordId, v: 1 };
    const verdict = this.replica.waitForResult(recordId, signal);
    this.appender.append(record, signal);
    const judged = await verdict;
    return judged === undefined
      ? err({ message: 'the log did not confirm the change in time', recordId })
      : ok({ recordId, ...judged });
  }
}
