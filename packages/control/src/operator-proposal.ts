import type { FleetRefusal, RefusalReason } from '@sequoiaquay/core';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import type { JournalEntry } from './journal';
import type { OperatorApiParts, OperatorContext } from './operator-http';
import type { FleetProposal } from './proposer';
import { refuse } from './operator-http';

/** Header with the id under which a client wants its change recorded, a UUID. */
export const RECORD_ID_HEADER = 'sequoiaquay-record-id';

/** Longest time that an operator waits for the verdict on a change, in ms. */
const VERDICT_TIMEOUT_MS = 10_000;

const STATUS_OF_REASON: Partial<Record<RefusalReason, ContentfulStatusCode>> = {
  'bad-record': 422,
  'unknown-pool': 404,
  'unknown-vm': 404,
};

/** Builds further members of the answer to a rejected change. */
export type RefusalDetails = (refusal: FleetRefusal) => Record<string, unknown>;

/**
 * Proposes a change for the team of the request and answers with the fold's verdict.
 * A change whose record id the log already holds is answered with the verdict on that record.
 */
export async function propose(
  c: OperatorContext,
  parts: OperatorApiParts,
  proposal: FleetProposal,
  details: RefusalDetails = () => ({}),
): Promise<Response> {
  const wanted = c.req.header(RECORD_ID_HEADER);
  const recordId = wanted ?? randomUUID();
  if (!z.uuid().safeParse(recordId).success) {
    return refuse(c, 422, 'bad-request', `${RECORD_ID_HEADER} must be a UUID`);
  }
  const known = parts.journal.find(recordId);
  if (known !== undefined) {
    return answerKnown(c, known, proposal, details);
  }
  const by = `team:${c.get('team')}`;
  const limit = AbortSignal.timeout(VERDICT_TIMEOUT_MS);
  const proposed = await parts.proposer.propose(proposal, limit, by, recordId);
  if (proposed.isErr()) {
    return refuse(c, 504, 'no-verdict', proposed.error.message, { record: recordId });
  }
  const judged = parts.journal.find(recordId);
  return judged === undefined
    ? refuse(c, 504, 'no-verdict', 'the verdict is no longer kept', { record: recordId })
    : answerKnown(c, judged, proposal, details);
}

function answerKnown(
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
  return refuse(c, STATUS_OF_REASON[reason] ?? 409, reason, entry.detail, {
    ...details({ detail: entry.detail, reason }),
    record: entry.id,
  });
}
