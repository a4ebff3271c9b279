import type { EntryStatus } from '@sequoiaquay/entry';
import type { Hono } from 'hono';
import { checkValue } from '@sequoiaquay/core';
import { latestEvents, MAX_TIMELINE_EVENTS, timelineQuerySchema } from '@sequoiaquay/runtime';
import * as z from 'zod';
import type { OperatorApiDependencies, OperatorEnv } from './operator-http';
import type { PeerAnswer } from './operator-peers';
import { refuse, refuseInvalid } from './operator-http';

const timelineParamsSchema = z.strictObject({
  id: timelineQuerySchema.shape.id,
  limit: z.coerce.number().int().min(1).max(MAX_TIMELINE_EVENTS).default(500),
  sinceMs: z.coerce.number().int().min(0).default(0),
});

/** Registers the routes for the status of all processes, the timeline, live tasks and results of records. */
export function registerStatusRoutes(app: Hono<OperatorEnv>, deps: OperatorApiDependencies): void {
  app.get('/status', async (c) => c.json(await describeStatus(deps)));
  app.get('/timeline', async (c) => {
    const query = checkValue(timelineParamsSchema, c.req.query());
    if (query.isErr()) {
      return refuseInvalid(c, 'bad-request', query.error);
    }
    const answers = await deps.peers.getTimelines(query.value);
    const events = answers.flatMap(({ answer }) => answer.unwrapOr([]));
    return c.json({
      events: latestEvents([...deps.ring.select(query.value), ...events], query.value.limit),
      silent: listUnresponsivePeers(answers),
    });
  });
  app.get('/tasks', async (c) => {
    const tasks = await deps.peers.listTasks();
    return tasks.match(
      (list) => c.json(list),
      (error) => refuse(c, 503, 'no-entry', `no entry answered: ${error.message}`),
    );
  });
  app.get('/records/:id', (c) => {
    const id = c.req.param('id');
    const entry = deps.journal.findByRecordId(id);
    return entry === undefined
      ? refuse(c, 404, 'unknown-record', 'this control has not seen the record', {
          since: deps.journal.oldestOffset ?? null,
        })
      : c.json(entry);
  });
}

/** Returns the names of the processes that did not answer. */
export function listUnresponsivePeers(answers: readonly PeerAnswer<unknown>[]): string[] {
  return answers.filter(({ answer }) => answer.isErr()).map(({ name }) => name);
}

async function describeStatus(deps: OperatorApiDependencies): Promise<unknown> {
  const { replica } = deps;
  const answers = await deps.peers.getEntryStatuses();
  const state = replica.state;
  return {
    control: {
      caughtUp: replica.caughtUp,
      counters: replica.counters,
      logReachable: deps.isLogReachable() ?? null,
      name: deps.name,
      next: state.next,
      stateAgeMs: replica.ageMs ?? null,
    },
    entries: answers.map(describeEntry),
    planner: state.planner,
    teams: [...state.branches].map(([team, { version }]) => describeTeam(team, version, answers)),
    wave: state.wave ?? null,
  };
}

function describeEntry({ answer, name }: PeerAnswer<EntryStatus>): unknown {
  if (answer.isErr()) {
    return { error: answer.error.message, name, reachable: false };
  }
  const { caughtUp, inFlight, incarnation, next, queued, stateAgeMs } = answer.value;
  return {
    caughtUp,
    inFlight: sumCounts(inFlight),
    incarnation,
    name,
    next,
    queued: sumCounts(queued),
    reachable: true,
    stateAgeMs,
  };
}

// Settings are in force on an entry once it has applied the record of their version.
function describeTeam(team: string, version: number, answers: readonly PeerAnswer<EntryStatus>[]): unknown {
  const missing = answers
    .filter(({ answer }) => answer.isErr() || answer.value.next < version)
    .map(({ name }) => name);
  return { entries: answers.length, inForce: answers.length - missing.length, missing, team, version };
}

function sumCounts(counts: Record<string, number>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}
