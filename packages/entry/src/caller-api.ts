import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Context } from 'hono';
import { Hono } from 'hono';
import { err } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import { Maybe } from 'true-myth';
import type { Dispatched, RequestDispatcher } from './dispatcher';
import type { CallerRefusal } from './refusal';
import type { MeteredRequest, RequestMeter } from './request-meter';
import type { TargetAnswer } from './target-client';
import { REFUSAL_STATUS } from './refusal';
import { HEADER, planRequest } from './request-plan';

/** Parts of an entry that the callers' interface uses. */
export interface CallerApiParts {
  dispatcher: RequestDispatcher;
  maxRequestBytes: number;
  meter: RequestMeter;
  /** Whether the entry can serve callers. */
  ready: () => boolean;
  replica: FleetReplica;
  timers: TimerService;
}

/** Builds the callers' interface, version 1. */
export function createCallerApi(parts: CallerApiParts): Hono {
  const app = new Hono();
  app.get('/healthz', (c) => c.json({ ok: true }));
  app.get('/readyz', (c) =>
    c.json({ ready: parts.ready(), stateAgeMs: parts.replica.ageMs ?? null }, parts.ready() ? 200 : 503),
  );
  app.post('/v1/pools/:pool/jobs/:job', (c) => handleJob(c, parts));
  return app;
}

async function handleJob(c: Context, parts: CallerApiParts): Promise<Response> {
  const startedAt = parts.timers.mono();
  const req = { id: randomUUID(), job: c.req.param('job') ?? '', pool: c.req.param('pool') ?? '' };
  const ended = await runJob(c, parts, req);
  const ms = parts.timers.mono() - startedAt;
  return ended.match(
    (answer) => {
      parts.meter.ended(req, { ms, outcome: 'answered', reason: 'answered' });
      return answered(answer, req.id);
    },
    (refusal) => {
      parts.meter.ended(req, { ms, outcome: refusal.outcome, reason: refusal.reason });
      return refused(c, refusal, req.id);
    },
  );
}

async function runJob(c: Context, parts: CallerApiParts, req: MeteredRequest): Promise<Dispatched> {
  const body = Buffer.from(await c.req.arrayBuffer());
  if (body.length > parts.maxRequestBytes) {
    return err({
      detail: `the body is larger than ${parts.maxRequestBytes} bytes`,
      outcome: 'not-run',
      reason: 'request-too-large',
      retryAfterS: Maybe.nothing<number>(),
    });
  }
  if (!parts.ready()) {
    return err({
      detail: 'the entry has no fleet state yet',
      outcome: 'not-run',
      reason: 'entry-not-ready',
      retryAfterS: Maybe.just(1),
    });
  }
  const plan = planRequest(parts.replica.state, {
    ...req,
    body,
    contentType: c.req.header('content-type') ?? 'application/octet-stream',
    header: (name) => c.req.header(name),
  });
  if (plan.isErr()) {
    return err(plan.error);
  }
  parts.meter.accepted(req);
  return parts.dispatcher.dispatch(plan.value, c.req.raw.signal);
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

function refused(c: Context, refusal: CallerRefusal, requestId: string): Response {
  const status = REFUSAL_STATUS[refusal.reason];
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [HEADER.outcome]: refusal.outcome,
    [HEADER.requestId]: requestId,
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
