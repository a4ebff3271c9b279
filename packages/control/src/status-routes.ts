import type { EntryStatus } from '@sequoiaquay/entry';
import type { Hono } from 'hono';
import { latestEvents, MAX_TIMELINE_EVENTS, timelineQuerySchema } from '@sequoiaquay/runtime';
import * as z from 'zod';
import type { PeerAnswer } from './entry-peers';
import type { OperatorApiParts, OperatorEnv } from './operator-http';
import { refuse, refuseInvalid } from './operator-http';

const timelineParamsSchema = z.strictObject({
  id: timelineQuerySchema.shape.id,
  limit: z.coerce.number().int().min(1).max(MAX_TIMELINE_EVENTS).default(500),
  sinceMs: z.coerce.number().int().min(0).default(0),
});

/** Routes that tell what is in force where, what happened, and what became of a change. */
export function routeStatus(app: Hono<OperatorEnv>, parts: OperatorApiParts): void {
  app.get('/status', async (c) => c.json(await describeStatus(parts)));
  app.get('/timeline', async (c) => {
    const query = timelineParamsSchema.safeParse(c.req.query());
    if (!query.success) {
      return refuseInvalid(c, 'bad-request', query.error);
    }
    const answers = await parts.peers.timelines(query.data);
    const events = answers.flatMap(({ answer }) => answer.unwrapOr([]));
    return c.json({
      events: latestEvents([...parts.ring.select(query.data), ...events], query.data.limit),
      silent: silentOf(answers),
    });
  });
  app.get('/records/:id', (c) => {
    const id = c.req.param('id');
    const entry = parts.journal.find(id);
    return entry === undefined
      ? refuse(c, 404, 'unknown-record', 'this control has not seen the record', {
          since: parts.journal.oldest ?? null,
        })
      : c.json(entry);
  });
}

/** Names of the processes that did not answer. */
export function silentOf(answers: readonly PeerAnswer<unknown>[]): string[] {
  return answers.filter(({ answer }) => answer.isErr()).map(({ name }) => name);
}

async function describeStatus(parts: OperatorApiParts): Promise<unknown> {
  const { replica } = parts;
  const answers = await parts.peers.entryStatus();
  const state = replica.state;
  return {
    control: {
      caughtUp: replica.caughtUp,
      counters: replica.counters,
      logReachable: parts.logReachable() ?? null,
      name: parts.name,
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
    inFlight: sum(inFlight),
    incarnation,
    name,
    next,
    queued: sum(queued),
    reachable: true,
    stateAgeMs,
  };
}

// Settings are in force on an entry that has applied the record of their version.
function describeTeam(team: string, version: number, answers: readonly PeerAnswer<EntryStatus>[]): unknown {
  const missing = answers
    .filter(({ answer }) => answer.isErr() || answer.value.next < version)
    .map(({ name }) => name);
  return { entries: answers.length, inForce: answers.length - missing.length, missing, team, version };
}

function sum(counts: Record<string, number>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}
