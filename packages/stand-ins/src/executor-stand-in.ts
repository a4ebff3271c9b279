import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { Misbehaviour } from './misbehaviour';
import { parseMisbehaviour, sendMisbehavingResponse } from './misbehaviour';

/** Record of an execution that the executor has started, as served under /admin/executions. */
export interface Execution {
  finished: boolean;
  id: string;
  job: string;
  nonce: string;
  startedAt: number;
}

/** Counts of what reached the executor, whether or not it ran. */
export interface ReceivedCounts {
  /** Connections accepted. */
  connections: number;
  /** Run requests whose header section arrived. */
  heads: number;
}

/** Body of a run request: what the caller wants the executor to do. Times in ms, sizes in bytes. */
interface RunRequest {
  bytes: number;
  nonce: string;
  pauseMs: number;
  runMs: number;
}

type ExecutorContext = Context<{ Bindings: HttpBindings }>;

const MAX_RUN_MS = 120_000;

/**
 * Stand-in for a target. Each request runs for the time that its body specifies and is recorded. The response
 * holds a digest of the caller's nonce, unless the `misbehave` parameter of the content type selects a
 * misbehaviour. For tests and the quickstart only.
 */
export class ExecutorStandIn {
  readonly app = new Hono<{ Bindings: HttpBindings }>();
  readonly executions: Execution[] = [];
  readonly received: ReceivedCounts = { connections: 0, heads: 0 };
  readonly #runningExecutions = new Set<Execution>();

  constructor(readonly name: string) {
    this.app.get('/healthz', (c) => c.json({ ok: true }));
    this.app.get('/admin/executions', (c) => c.json(this.executions));
    this.app.get('/admin/received', (c) => c.json({ ...this.received, running: this.runningCount }));
    this.app.post('/jobs/:job', (c) => this.#handleRun(c));
  }

  /** Number of executions in progress. */
  get runningCount(): number {
    return this.#runningExecutions.size;
  }

  /** Counts an accepted connection. */
  countConnection(): void {
    this.received.connections += 1;
  }

  async #handleRun(c: ExecutorContext): Promise<Response> {
    this.received.heads += 1;
    const misbehaviour = parseMisbehaviour(c.req.header('content-type') ?? '');
    if (misbehaviour === 'cut-on-head') {
      c.env.incoming.socket.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    const runRequest = parseRunRequest(await c.req.text());
    const execution: Execution = {
      finished: false,
      id: c.req.header('sequoiaquay-request-id') ?? '',
      job: c.req.param('job') ?? '',
      nonce: runRequest.nonce,
      startedAt: Date.now(),
    };
    this.executions.push(execution);
    this.#runningExecutions.add(execution);
    await delay(Math.min(runRequest.runMs, MAX_RUN_MS));
    execution.finished = true;
    this.#runningExecutions.delete(execution);
    const body = {
      digest: createHash('sha256').update(runRequest.nonce).digest('hex'),
      target: this.name,
    };
    return misbehaviour === undefined
      ? c.json(body)
      : respondWithMisbehaviour(c, misbehaviour, runRequest, JSON.stringify(body));
  }
}

async function respondWithMisbehaviour(
  c: ExecutorContext,
  misbehaviour: Misbehaviour,
  runRequest: RunRequest,
  body: string,
): Promise<Response> {
  const { incoming, outgoing } = c.env;
  await sendMisbehavingResponse({
    body,
    incoming,
    misbehaviour,
    outgoing,
    pauseMs: runRequest.pauseMs,
    sizeBytes: runRequest.bytes,
  });
  return RESPONSE_ALREADY_SENT;
}

function parseRunRequest(text: string): RunRequest {
  const defaults = { bytes: 0, nonce: text, pauseMs: 0, runMs: 0 };
  try {
    return { ...defaults, nonce: '', ...(JSON.parse(text) as Partial<RunRequest>) };
  } catch {
    return defaults;
  }
}
