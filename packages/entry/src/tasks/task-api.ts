import type { Outcome, Task } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { Context } from 'hono';
import { Hono } from 'hono';
import { randomUUID } from 'node:crypto';
import { Maybe } from 'true-myth';
import type { CallerRefusal } from '../refusal';
import type { TaskService } from './task-service';
import { REFUSAL_STATUS } from '../refusal';
import { HEADER, planRequest } from '../request-plan';

/** Dependencies of the task API. */
export interface TaskApiDependencies {
  maxRequestBytes: number;
  ready: () => boolean;
  replica: FleetReplica;
  tasks: TaskService;
}

/** Matches the `respond-async` preference of a `Prefer` header (RFC 7240), which requests a task. */
const RESPOND_ASYNC_PATTERN = /(^|,)\s*respond-async\s*(,|;|$)/i;

/** Creates the task API for callers; requests without `respond-async` pass on to the next handler. */
export function createTaskApi(deps: TaskApiDependencies): Hono {
  const app = new Hono();
  app.post('/v1/pools/:pool/jobs/:job', async (c, next) => {
    if (RESPOND_ASYNC_PATTERN.test(c.req.header('prefer') ?? '')) {
      return acceptTask(c, deps);
    }
    await next();
    return undefined;
  });
  app.get('/v1/tasks/:id', (c) => {
    const task = deps.tasks.find(c.req.param('id'));
    return task === undefined
      ? sendRefusal(c, unknownTaskRefusal(deps))
      : c.json(toTaskView(task), 200, ANSWERED_HEADERS);
  });
  app.delete('/v1/tasks/:id', async (c) => {
    const cancelled = await deps.tasks.cancel(c.req.param('id'));
    return cancelled.match(
      (task) => c.json(toTaskView(task), 200, ANSWERED_HEADERS),
      (refusal) => sendRefusal(c, refusal.reason === 'unknown-task' ? unknownTaskRefusal(deps) : refusal),
    );
  });
  return app;
}

const ANSWERED_HEADERS = { [HEADER.outcome]: 'answered' };

async function acceptTask(c: Context, deps: TaskApiDependencies): Promise<Response> {
  if (!deps.ready()) {
    return sendRefusal(c, notReadyRefusal());
  }
  if (Number(c.req.header('content-length') ?? 0) > deps.maxRequestBytes) {
    return sendRefusal(c, {
      detail: `the body is larger than ${deps.maxRequestBytes} bytes`,
      outcome: 'not-run',
      reason: 'request-too-large',
      retryAfterS: Maybe.nothing(),
    });
  }
  const plan = planRequest(deps.replica.state, {
    body: Buffer.from(await c.req.arrayBuffer()),
    contentType: c.req.header('content-type') ?? 'application/octet-stream',
    header: (name) => c.req.header(name),
    id: randomUUID(),
    job: c.req.param('job') ?? '',
    pool: c.req.param('pool') ?? '',
  });
  const accepted = plan.isErr() ? plan : await deps.tasks.accept(plan.value);
  return accepted.match(
    (task) =>
      c.json(toTaskView(task as Task), 202, {
        ...ANSWERED_HEADERS,
        location: `/v1/tasks/${(task as Task).id}`,
        'preference-applied': 'respond-async',
      }),
    (refusal) => sendRefusal(c, refusal),
  );
}

/** Representation of a task for callers; times are in ms since the Unix epoch. */
export interface TaskView {
  acceptedAt: number;
  answer?: { body: string; contentType: string };
  attempt: number;
  endedAt?: number;
  id: string;
  job: string;
  /** Set when the task has ended. */
  outcome?: Outcome;
  pool: string;
  /** Last progress that the worker reported, from 0 to 1. */
  progress: number;
  state: Task['state'];
  tries: Task['tries'];
  worker?: string;
}

/** Returns the representation of a task for callers. */
export function toTaskView(task: Task): TaskView {
  return {
    acceptedAt: task.at,
    answer: task.answer,
    attempt: task.attempt,
    endedAt: task.endedAt,
    id: task.id,
    job: task.job,
    outcome: getOutcome(task),
    pool: task.pool,
    progress: task.progress,
    state: task.state,
    tries: task.tries,
    worker: task.lease?.worker,
  };
}

function getOutcome(task: Task): Outcome | undefined {
  if (task.endedAt === undefined) {
    return undefined;
  }
  if (task.state === 'done') {
    return 'answered';
  }
  return task.attempt === 0 ? 'not-run' : 'unknown';
}

function unknownTaskRefusal(deps: TaskApiDependencies): CallerRefusal {
  return deps.ready()
    ? {
        detail: 'there is no such task, or it is forgotten',
        outcome: 'not-run',
        reason: 'unknown-task',
        retryAfterS: Maybe.nothing(),
      }
    : notReadyRefusal();
}

function notReadyRefusal(): CallerRefusal {
  return {
    detail: 'the entry has not read its state yet',
    outcome: 'not-run',
    reason: 'entry-not-ready',
    retryAfterS: Maybe.just(1),
  };
}

function sendRefusal(c: Context, refusal: CallerRefusal): Response {
  const { detail, outcome, reason, retryAfterS } = refusal;
  const status = REFUSAL_STATUS[reason];
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [HEADER.outcome]: outcome,
  };
  if (retryAfterS.isJust) {
    headers['retry-after'] = String(retryAfterS.value);
  }
  const problem = { detail, outcome, reason, status, title: reason, type: 'about:blank' };
  return c.body(JSON.stringify(problem), status, headers);
}
