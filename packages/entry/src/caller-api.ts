import type { FleetReplica } from '@sequoiaquay/platform';
import type { Context } from 'hono';
import { Hono } from 'hono';
import { randomUUID } from 'node:crypto';
import { Maybe } from 'true-myth';
import type { RequestDispatcher } from './dispatcher';
import type { CallerRefusal } from './refusal';
import type { TargetAnswer } from './target-client';
import type { TaskService } from './tasks/task-service';
import { REFUSAL_STATUS } from './refusal';
import { HEADER, planRequest } from './request-plan';
import { createTaskApi } from './tasks/task-api';

/** Parts of an entry that the callers' interface uses. */
export interface CallerApiParts {
  dispatcher: RequestDispatcher;
  maxRequestBytes: number;
  /** Whether the entry can serve callers. */
  ready: () => boolean;
  replica: FleetReplica;
  tasks: TaskService;
}

/** Builds the callers' interface, version 1. */
export function createCallerApi(parts: CallerApiParts): Hono {
  const app = new Hono();
  app.get('/healthz', (c) => c.json({ ok: true }));
  app.get('/readyz', (c) =>
    c.json({ ready: parts.ready(), stateAgeMs: parts.replica.ageMs ?? null }, parts.ready() ? 200 : 503),
  );
  app.route('/', createTaskApi(parts));
  app.post('/v1/pools/:pool/jobs/:job', (c) => handleJob(c, parts));
  return app;
}

async function handleJob(c: Context, parts: CallerApiParts): Promise<Response> {
  const body = Buffer.from(await c.req.arrayBuffer());
  if (body.length > parts.maxRequestBytes) {
    return refused(c, {
      detail: `the body is larger than ${parts.maxRequestBytes} bytes`,
      outcome: 'not-run',
      reason: 'request-too-large',
      retryAfterS: Maybe.nothing(),
    });
  }
  if (!parts.ready()) {
    return refused(c, {
      detail: 'the entry has no fleet state yet',
      outcome: 'not-run',
      reason: 'entry-not-ready',
      retryAfterS: Maybe.just(1),
    });
  }
  const plan = planRequest(parts.replica.state, {
    body,
    contentType: c.req.header('content-type') ?? 'application/octet-stream',
    header: (name) => c.req.header(name),
    id: randomUUID(),
    job: c.req.param('job') ?? '',
    pool: c.req.param('pool') ?? '',
  });
  if (plan.isErr()) {
    return refused(c, plan.error);
  }
  const dispatched = await parts.dispatcher.dispatch(plan.value, c.req.raw.signal);
  return dispatched.match(
    (answer) => answered(answer, plan.value.id),
    (refusal) => refused(c, refusal),
  );
}

function answered(answer: TargetAnswer, requestId: string): Response {
  return new Response(new Uint8Array(answer.body), {
    headers: {
      'content-type': answer.contentType,
      [HEADER.outcome]: 'answered',
      [HEADER.requestId]: requestId,
    },
    status: answer.status,
  });
}

function refused(c: Context, refusal: CallerRefusal): Response {
  const status = REFUSAL_STATUS[refusal.reason];
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [HEADER.outcome]: refusal.outcome,
  };
  if (refusal.retryAfterS.isJust) {
    headers['retry-after'] = String(refusal.retryAfterS.value);
  }
  return c.body(
    JSON.stringify({
      detail: refusal.detail,
      outcome: refusal.outcome,
      reason: refusal.reason,
      status,
      title: refusal.reason,
      type: 'about:blank',
    }),
    status,
    headers,
  );
}
