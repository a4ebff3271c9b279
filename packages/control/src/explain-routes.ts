import type { FleetState } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { latestEvents, MAX_TIMELINE_EVENTS } from '@sequoiaquay/runtime';
import * as z from 'zod';
import type { ExplainedKind, Explanation } from './explain';
import type { JournalEntry } from './journal';
import type { OperatorApiDependencies, OperatorEnv } from './operator-http';
import { EXPLAINED_KINDS, explainPool, explainRequest, explainTask, explainVm } from './explain';
import { refuse } from './operator-http';
import { listUnresponsivePeers } from './status-routes';

const kindSchema = z.enum(EXPLAINED_KINDS);

/** Registers the route that explains the present state of a VM, pool, task or request. */
export function registerExplainRoute(app: Hono<OperatorEnv>, deps: OperatorApiDependencies): void {
  app.get('/explain/:kind/:id', async (c) => {
    const kind = kindSchema.safeParse(c.req.param('kind'));
    if (!kind.success) {
      return refuse(c, 422, 'bad-request', `the kind must be one of ${EXPLAINED_KINDS.join(', ')}`);
    }
    const id = c.req.param('id');
    const explanation = await explain(deps, kind.data, id);
    return isKnown(deps.replica.state, explanation)
      ? c.json(explanation)
      : refuse(
          c,
          404,
          `unknown-${kind.data}`,
          explanation.summary.join('; ') || `${kind.data} ${id} is not known`,
          {
            silent: explanation.silent,
          },
        );
  });
}

async function explain(deps: OperatorApiDependencies, kind: ExplainedKind, id: string): Promise<Explanation> {
  const query = { id, limit: MAX_TIMELINE_EVENTS, sinceMs: 0 };
  const answers = await deps.peers.getTimelines(query);
  const peerEvents = answers.flatMap(({ answer }) => answer.unwrapOr([]));
  const events = latestEvents([...deps.ring.select(query), ...peerEvents], MAX_TIMELINE_EVENTS);
  const records = findRecords(deps, kind, id);
  const summary = await summarize(deps, kind, id, records, events);
  return { events, id, kind, records, silent: listUnresponsivePeers(answers), summary };
}

async function summarize(
  deps: OperatorApiDependencies,
  kind: ExplainedKind,
  id: string,
  records: readonly JournalEntry[],
  events: Explanation['events'],
): Promise<string[]> {
  const { state } = deps.replica;
  switch (kind) {
    case 'pool':
      return explainPool(state, id, records);
    case 'request':
      return explainRequest(id, events);
    case 'task': {
      const task = await deps.peers.findTask(id);
      return task.match(
        (found) => (found === null ? [] : explainTask(found)),
        (error) => [`no entry answered: ${error.message}`],
      );
    }
    case 'vm': {
      const vm = state.vms.get(id);
      const entries = vm?.drain === undefined ? [] : await deps.peers.getEntryStatuses();
      return explainVm(vm, id, records, entries);
    }
  }
}

function findRecords(deps: OperatorApiDependencies, kind: ExplainedKind, id: string): JournalEntry[] {
  switch (kind) {
    case 'pool':
      return deps.journal.findByPool(id, deps.replica.state.poolOwners.get(id));
    case 'vm':
      return deps.journal.findBySubject({ field: 'vm', name: id });
    case 'request':
    case 'task':
      return [];
  }
}

function isKnown(state: FleetState, { events, id, kind, records, summary }: Explanation): boolean {
  switch (kind) {
    case 'pool':
      return state.poolOwners.has(id) || records.length > 0;
    case 'request':
      return events.length > 0;
    case 'task':
      return summary.length > 0;
    case 'vm':
      return state.vms.has(id) || records.length > 0;
  }
}
