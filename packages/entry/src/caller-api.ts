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
import { createDisconnectSignal, discardBody, readBody, writeAnswer } from './caller-io';
import { REFUSAL_STATUS } from './refusal';
import { HEADER, planRequest } from './request-plan';
import { createTaskApi } from './tasks/task-api';

/** Components and limits that the caller API uses. */
export interface CallerApiDependencies {
  dispatcher: RequestDispatcher;
  maxRequestBytes: number;
  meter: RequestMeter;
  /** Returns whether the entry can serve callers. */
  ready: () => boolean;
  replica: FleetReplica;
  /** Aborts when the entry stops. */
  stopping: AbortSignal;
  tasks: TaskService;
  timers: TimerService;
}

type CallerContext = Context<{ Bindings: HttpBindings }>;

/** Time for which a caller may still read a buffered answer after its deadline, in ms. */
const ANSWER_READ_GRACE_MS = 5000;

/** Creates the caller API, version 1. */
export function createCallerApi(deps: CallerApiDependencies): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/healthz', (c) => c.json({ ok: true }));
  app.get('/readyz', (c) => {
    closeAfterAnswer(c, deps.stopping);
    return c.json({ ready: deps.ready(), stateAgeMs: deps.replica.ageMs ?? null }, deps.ready() ? 200 : 503);
  });
  app.route('/', createTaskApi(deps) as unknown as typeof app);
  app.post('/v1/pools/:pool/jobs/:job', (c) => handleJob(c, deps));
  return app;
}

async function handleJob(c: CallerContext, deps: CallerApiDependencies): Promise<Response> {
  const disconnected = createDisconnectSignal(c.env.outgoing);
  const startedAt = deps.timers.mono();
  const req = { id: randomUUID(), job: c.req.param('job') ?? '', pool: c.req.param('pool') ?? '' };
  const planned = await planJob(c, deps, req);
  if ('refusal' in planned) {
    closeAfterAnswer(c, deps.stopping);
    discardBody(c.env.incoming);
    deps.meter.recordRefused(req, planned.refusal);
    return sendRefusal(c, planned.refusal, req.id);
  }
  const { plan } = planned;
  deps.meter.recordAccepted(req);
  const dispatched = await deps.dispatcher.dispatch(plan, disconnected);
  closeAfterAnswer(c, deps.stopping);
  return dispatched.match(
    (delivery) => {
      deps.meter.recordAnswered(req, deps.timers.mono() - startedAt);
      return sendAnswer(c, delivery, plan);
    },
    (refusal) => {
      deps.meter.recordRefused(req, refusal);
      return sendRefusal(c, refusal, req.id);
    },
  );
}

async function planJob(
  c: CallerContext,
  deps: CallerApiDependencies,
  req: MeteredRequest,
): Promise<{ plan: RequestPlan } | { refusal: CallerRefusal }> {
  const refusalBefore = findReadinessRefusal(deps);
  if (refusalBefore !== undefined) {
    return { refusal: refusalBefore };
  }
  const body = await readBody(c.env.incoming, deps.maxRequestBytes);
  if (body.isErr()) {
    return { refusal: toBodyRefusal(body.error, deps.maxRequestBytes) };
  }
  // The entry may have started to stop while the body was read.
  const refusalAfter = findReadinessRefusal(deps);
  if (refusalAfter !== undefined) {
    return { refusal: refusalAfter };
  }
  const plan = planRequest(deps.replica.state, {
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

function findReadinessRefusal(deps: CallerApiDependencies): CallerRefusal | undefined {
  if (deps.stopping.aborted) {
    return createNotRunRefusal('stopping', 'the entry is stopping', 1);
  }
  return deps.ready()
    ? undefined
    : createNotRunRefusal('entry-not-ready', 'the entry has no fleet state yet', 1);
}

function toBodyRefusal(error: 'cut' | 'too-large', maxBytes: number): CallerRefusal {
  return error === 'cut'
    ? createNotRunRefusal('bad-request', 'the body ended early')
    : createNotRunRefusal('request-too-large', `the body is larger than ${maxBytes} bytes`);
}

function createNotRunRefusal(
  reason: CallerRefusal['reason'],
  detail: string,
  retryAfterS?: number,
): CallerRefusal {
  return { detail, outcome: 'not-run', reason, retryAfterS: Maybe.of(retryAfterS) };
}

function closeAfterAnswer(c: CallerContext, stopping: AbortSignal): void {
  const { outgoing } = c.env;
  if (stopping.aborted) {
    outgoing.shouldKeepAlive = false;
  }
}

function sendAnswer(c: CallerContext, delivery: Delivery, plan: RequestPlan): Response {
  const { outgoing } = c.env;
  const { answer } = delivery;
  const headers = { [HEADER.outcome]: 'answered', [HEADER.requestId]: plan.id };
  const deadlineSignal =
    answer.rest === undefined
      ? AbortSignal.timeout(plan.timeoutMs + ANSWER_READ_GRACE_MS)
      : delivery.deadlineSignal;
  // The Response constructor rejects some status codes of targets, and a streamed Response can't be reset.
  writeAnswer(outgoing, answer, headers, { readToEnd: delivery.readToEnd, deadlineSignal });
  return RESPONSE_ALREADY_SENT;
}

function sendRefusal(c: CallerContext, refusal: CallerRefusal, requestId: string): Response {
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
