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

/** Parts of an entry that the callers' interface to tasks uses. */
export interface TaskApiParts {
  maxRequestBytes: number;
  ready: () => boolean;
  replica: FleetReplica;
  tasks: TaskService;
}

/** Value of the `Prefer` header that asks for a task (RFC 7240). */
const RESPOND_ASYNC = /(^|,)\s*respond-async\s*(,|;|$)/i;

/** Builds the callers' interface to tasks; requests that ask for a direct answer pass through. */
export function createTaskApi(parts: TaskApiParts): Hono {
  const app = new Hono();
  app.post('/v1/pools/:pool/jobs/:job', async (c, next) => {
    if (RESPOND_ASYNC.test(c.req.header('prefer') ?? '')) {
      return accept(c, parts);
    }
    await next();
    return undefined;
  });
  app.get('/v1/tasks/:id', (c) => {
    const task = parts.tasks.find(c.req.param('id'));
    return task === undefined ? refused(c, unknownTask(parts)) : c.json(toView(task), 200, ANSWERED);
  });
  app.delete('/v1/tasks/:id', async (c) => {
    const cancelled = await parts.tasks.cancel(c.req.param('id'));
    return cancelled.match(
      (task) => c.json(toView(task), 200, ANSWERED),
      (refusal) => refused(c, refusal.reason === 'unknown-task' ? unknownTask(parts) : refusal),
    );
  });
  return app;
}

const ANSWERED = { [HEADER.outcome]: 'answered' };

async function accept(c: Context, parts: TaskApiParts): Promise<Response> {
  if (!parts.ready()) {
    return refused(c, notReady());
  }
  if (Number(c.req.header('content-length') ?? 0) > parts.maxRequestBytes) {
    return refused(c, {
      detail: `the body is larger than ${parts.maxRequestBytes} bytes`,
      outcome: 'not-run',
      reason: 'request-too-large',
      retryAfterS: Maybe.nothing(),
    });
  }
  const plan = planRequest(parts.replica.state, {
    body: Buffer.from(await c.req.arrayBuffer()),
    contentType: c.req.header('content-type') ?? 'application/octet-stream',
    header: (name) => c.req.header(name),
    id: randomUUID(),
    job: c.req.param('job') ?? '',
    pool: c.req.param('pool') ?? '',
  });
  const accepted = plan.isErr() ? plan : await parts.tasks.accept(plan.value);
  return accepted.match(
    (task) =>
      c.json(toView(task as Task), 202, {
        ...ANSWERED,
        location: `/v1/tasks/${(task as Task).id}`,
        'preference-applied': 'respond-async',
      }),
    (refusal) => refused(c, refusal),
  );
}

/** What callers see of a task; times in ms since the epoch. */
export interface TaskView {
  acceptedAt: number;
  answer?: { body: string; contentType: string };
  attempt: number;
  endedAt?: number;
  id: string;
  job: string;
  /** Present once the task has ended. */
  outcome?: Outcome;
  pool: string;
  /** From 0 to 1, as last reported by the worker. */
  progress: number;
  state: Task['state'];
  tries: Task['tries'];
  worker?: string;
}

/** Builds what callers see of a task. */
export function toView(task: Task): TaskView {
  return {
    acceptedAt: task.at,
    answer: task.answer,
    attempt: task.attempt,
    endedAt: task.endedAt,
    id: task.id,
    job: task.job,
    outcome: outcomeOf(task),
    pool: task.pool,
    progress: task.progress,
    state: task.state,
    tries: task.tries,
    worker: task.lease?.worker,
  };
}

function outcomeOf(task: Task): Outcome | undefined {
  if (task.endedAt === undefined) {
    return undefined;
  }
  if (task.state === 'done') {
    return 'answered';
  }
  return task.attempt === 0 ? 'not-run' : 'unknown';
}

function unknownTask(parts: TaskApiParts): CallerRefusal {
  return parts.ready()
    ? {
        detail: 'there is no such task, or it is forgotten',
        outcome: 'not-run',
        reason: 'unknown-task',
        retryAfterS: Maybe.nothing(),
      }
    : notReady();
}

function notReady(): CallerRefusal {
  return {
    detail: 'the entry has not read its state yet',
    outcome: 'not-run',
    reason: 'entry-not-ready',
    retryAfterS: Maybe.just(1),
  };
}

function refused(c: Context, refusal: CallerRefusal): Response {
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
