import type { FleetState } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { latestEvents, MAX_TIMELINE_EVENTS } from '@sequoiaquay/runtime';
import * as z from 'zod';
import type { ExplainedKind, Explanation } from './explain';
import type { JournalEntry } from './journal';
import type { OperatorApiParts, OperatorEnv } from './operator-http';
import { EXPLAINED_KINDS, explainEvents, explainPool, explainVm } from './explain';
import { refuse } from './operator-http';
import { silentOf } from './status-routes';

const kindSchema = z.enum(EXPLAINED_KINDS);

/** Route that explains the present state of a VM, pool, task or request. */
export function routeExplain(app: Hono<OperatorEnv>, parts: OperatorApiParts): void {
  app.get('/explain/:kind/:id', async (c) => {
    const kind = kindSchema.safeParse(c.req.param('kind'));
    if (!kind.success) {
      return refuse(c, 422, 'bad-request', `the kind must be one of ${EXPLAINED_KINDS.join(', ')}`);
    }
    const id = c.req.param('id');
    const explanation = await explain(parts, kind.data, id);
    return isKnown(parts.replica.state, explanation)
      ? c.json(explanation)
      : refuse(c, 404, `unknown-${kind.data}`, explanation.summary.join('; '), {
          silent: explanation.silent,
        });
  });
}

async function explain(parts: OperatorApiParts, kind: ExplainedKind, id: string): Promise<Explanation> {
  const query = { id, limit: MAX_TIMELINE_EVENTS, sinceMs: 0 };
  const asked = await parts.peers.timelines(query);
  const others = asked.flatMap(({ answer }) => answer.unwrapOr([]));
  const events = latestEvents([...parts.ring.select(query), ...others], MAX_TIMELINE_EVENTS);
  const records = recordsOf(parts, kind, id);
  const summary = await summarize(parts, kind, id, records, events);
  return { events, id, kind, records, silent: silentOf(asked), summary };
}

async function summarize(
  parts: OperatorApiParts,
  kind: ExplainedKind,
  id: string,
  records: readonly JournalEntry[],
  events: Explanation['events'],
): Promise<string[]> {
  const { state } = parts.replica;
  switch (kind) {
    case 'pool':
      return explainPool(state, id, records);
    case 'request':
    case 'task':
      return explainEvents(kind, id, events);
    case 'vm': {
      const vm = state.vms.get(id);
      const entries = vm?.drain === undefined ? [] : await parts.peers.entryStatus();
      return explainVm(vm, id, records, entries);
    }
  }
}

function recordsOf(parts: OperatorApiParts, kind: ExplainedKind, id: string): JournalEntry[] {
  switch (kind) {
    case 'pool':
      return parts.journal.aboutPool(id, parts.replica.state.poolOwners.get(id));
    case 'vm':
      return parts.journal.about({ field: 'vm', name: id });
    case 'request':
    case 'task':
      return [];
  }
}

function isKnown(state: FleetState, { events, id, kind, records }: Explanation): boolean {
  const present = (kind === 'vm' && state.vms.has(id)) || (kind === 'pool' && state.poolOwners.has(id));
  return present || events.length > 0 || records.length > 0;
}
