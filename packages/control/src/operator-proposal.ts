import type { FleetRefusal, RefusalReason } from '@sequoiaquay/core';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import type { JournalEntry } from './journal';
import type { OperatorApiDependencies, OperatorContext } from './operator-http';
import type { FleetProposal } from './proposer';
import { refuse } from './operator-http';

/** Header with the record id that a client chooses for its change, a UUID. */
export const RECORD_ID_HEADER = 'sequoiaquay-record-id';

/** Longest time that an operator waits for the result of a change, in ms. */
const RESULT_TIMEOUT_MS = 10_000;

const STATUS_BY_REASON: Partial<Record<RefusalReason, ContentfulStatusCode>> = {
  'bad-record': 422,
  'unknown-pool': 404,
  'unknown-vm': 404,
};

/** Returns additional members of the response to a rejected change. */
export type RefusalDetails = (refusal: FleetRefusal) => Record<string, unknown>;

/**
 * Proposes a change for the team of the request and responds with the result of applying its record.
 * When the journal already has a record with this id, responds with the result of that record instead.
 */
export async function proposeChange(
  c: OperatorContext,
  deps: OperatorApiDependencies,
  proposal: FleetProposal,
  details: RefusalDetails = () => ({}),
): Promise<Response> {
  const requestedId = c.req.header(RECORD_ID_HEADER);
  const recordId = requestedId ?? randomUUID();
  if (!z.uuid().safeParse(recordId).success) {
    return refuse(c, 422, 'bad-request', `${RECORD_ID_HEADER} must be a UUID`);
  }
  const existing = deps.journal.findByRecordId(recordId);
  if (existing !== undefined) {
    return respondWithEntry(c, existing, proposal, details);
  }
  const by = `team:${c.get('team')}`;
  const waitSignal = AbortSignal.timeout(RESULT_TIMEOUT_MS);
  const proposed = await deps.proposer.propose(proposal, waitSignal, by, recordId);
  if (proposed.isErr()) {
    return refuse(c, 504, 'no-verdict', proposed.error.message, { record: recordId });
  }
  const applied = deps.journal.findByRecordId(recordId);
  return applied === undefined
    ? refuse(c, 504, 'no-verdict', 'the verdict is no longer kept', { record: recordId })
    : respondWithEntry(c, applied, proposal, details);
}

function respondWithEntry(
  c: OperatorContext,
  entry: JournalEntry,
  proposal: FleetProposal,
  details: RefusalDetails,
): Response {
  if (entry.by !== `team:${c.get('team')}` || entry.kind !== proposal.kind) {
    return refuse(c, 409, 'duplicate-id', `record ${entry.id} is another change`, { record: entry.id });
  }
  if (entry.accepted) {
    return c.json({ accepted: true, record: entry.id, version: entry.offset + 1 });
  }
  const reason = entry.reason as RefusalReason;
  return refuse(c, STATUS_BY_REASON[reason] ?? 409, reason, entry.detail, {
    ...details({ detail: entry.detail, reason }),
    record: entry.id,
  });
}
