import type { HttpBindings } from '@hono/node-server';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Context } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { randomUUID } from 'node:crypto';
import { Maybe } from 'true-myth';
import type { Delivery, RequestDispatcher } from './dispatcher';
import type { CallerRefusal } from './refusal';
import type { MeteredRequest, RequestMeter } from './request-meter';
import type { RequestPlan } from './request-plan';
import type { TaskService } from './tasks/task-service';
import { callerGone, dropBody, readBody, writeAnswer } from './caller-io';
import { REFUSAL_STATUS } from './refusal';
import { HEADER, planRequest } from './request-plan';
import { createTaskApi } from './tasks/task-api';

/** Parts of an entry that the callers' interface uses. */
export interface CallerApiParts {
  dispatcher: RequestDispatcher;
  maxRequestBytes: number;
  meter: RequestMeter;
  /** Whether the entry can serve callers. */
  ready: () => boolean;
  replica: FleetReplica;
  /** Aborts when the entry stops. */
  stopping: AbortSignal;
  tasks: TaskService;
  timers: TimerService;
}

type CallerContext = Context<{ Bindings: HttpBindings }>;

/** Time that a caller has to read a buffered answer after its deadline, in ms. */
const READ_GRACE_MS = 5000;

/** Builds the callers' interface, version 1. */
export function createCallerApi(parts: CallerApiParts): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/healthz', (c) => c.json({ ok: true }));
  app.get('/readyz', (c) => {
    closeAfterAnswer(c, parts.stopping);
    return c.json(
      { ready: parts.ready(), stateAgeMs: parts.replica.ageMs ?? null },
      parts.ready() ? 200 : 503,
    );
  });
  app.route('/', createTaskApi(parts) as unknown as typeof app);
  app.post('/v1/pools/:pool/jobs/:job', (c) => handleJob(c, parts));
  return app;
}

async function handleJob(c: CallerContext, parts: CallerApiParts): Promise<Response> {
  const gone = callerGone(c.env.outgoing);
  const startedAt = parts.timers.mono();
  const req = { id: randomUUID(), job: c.req.param('job') ?? '', pool: c.req.param('pool') ?? '' };
  const planned = await planJob(c, parts, req);
  if ('refusal' in planned) {
    closeAfterAnswer(c, parts.stopping);
    dropBody(c.env.incoming);
    parts.meter.refused(req, planned.refusal);
    return refused(c, planned.refusal, req.id);
  }
  const { plan } = planned;
  parts.meter.accepted(req);
  const dispatched = await parts.dispatcher.dispatch(plan, gone);
  closeAfterAnswer(c, parts.stopping);
  return dispatched.match(
    (delivery) => {
      parts.meter.answered(req, parts.timers.mono() - startedAt);
      return answered(c, delivery, plan);
    },
    (refusal) => {
      parts.meter.refused(req, refusal);
      return refused(c, refusal, req.id);
    },
  );
}

async function planJob(
  c: CallerContext,
  parts: CallerApiParts,
  req: MeteredRequest,
): Promise<{ plan: RequestPlan } | { refusal: CallerRefusal }> {
  const before = notReady(parts);
  if (before !== undefined) {
    return { refusal: before };
  }
  const body = await readBody(c.env.incoming, parts.maxRequestBytes);
  if (body.isErr()) {
    return { refusal: badBody(body.error, parts.maxRequestBytes) };
  }
  // The entry may have been told to stop while the body was read.
  const after = notReady(parts);
  if (after !== undefined) {
    return { refusal: after };
  }
  const plan = planRequest(parts.replica.state, {
    ...req,
    body: body.value,
    contentType: c.req.header('content-type') ?? 'application/octet-stream',
    header: (name) => c.req.header(name),
  });
  return plan.match(
    (value): { plan: RequestPlan } | { refusal: CallerRefusal } => ({ plan: value }),
    (refusal) => ({ refusal }),
  );
}

function notReady(parts: CallerApiParts): CallerRefusal | undefined {
  if (parts.stopping.aborted) {
    return notRun('stopping', 'the entry is stopping', 1);
  }
  return parts.ready() ? undefined : notRun('entry-not-ready', 'the entry has no fleet state yet', 1);
}

function badBody(problem: 'cut' | 'too-large', maxBytes: number): CallerRefusal {
  return problem === 'cut'
    ? notRun('bad-request', 'the body ended early')
    : notRun('request-too-large', `the body is larger than ${maxBytes} bytes`);
}

function notRun(reason: CallerRefusal['reason'], detail: string, retryAfterS?: number): CallerRefusal {
  return { detail, outcome: 'not-run', reason, retryAfterS: Maybe.of(retryAfterS) };
}

function closeAfterAnswer(c: CallerContext, stopping: AbortSignal): void {
  const { outgoing } = c.env;
  if (stopping.aborted) {
    outgoing.shouldKeepAlive = false;
  }
}

function answered(c: CallerContext, delivery: Delivery, plan: RequestPlan): Response {
  const { outgoing } = c.env;
  const { answer } = delivery;
  const headers = { [HEADER.outcome]: 'answered', [HEADER.requestId]: plan.id };
  const limit =
    answer.rest === undefined ? AbortSignal.timeout(plan.deadlineMs + READ_GRACE_MS) : delivery.limit;
  // The constructor of Response refuses some statuses of targets, and a stream of it can't be reset.
  writeAnswer(outgoing, answer, headers, { keepReading: delivery.keepReading, limit });
  return RESPONSE_ALREADY_SENT;
}

function refused(c: CallerContext, refusal: CallerRefusal, requestId: string): Response {
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
