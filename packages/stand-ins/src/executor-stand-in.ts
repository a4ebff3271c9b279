import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { Misbehaviour } from './misbehaviour';
import { answerWrongly, misbehaviourOf } from './misbehaviour';

/** One execution that the executor has started. */
export interface Execution {
  finished: boolean;
  id: string;
  job: string;
  nonce: string;
  startedAt: number;
}

/** What reached the executor, whether or not it ran. */
export interface Received {
  /** Connections accepted. */
  connections: number;
  /** Requests to run of which the head arrived. */
  heads: number;
}

interface Work {
  bytes: number;
  nonce: string;
  pauseMs: number;
  runMs: number;
}

type ExecutorContext = Context<{ Bindings: HttpBindings }>;

const MAX_RUN_MS = 120_000;

/**
 * Stand-in for a target: runs each request for the time that its body asks for, counts what it ran, and
 * answers with a digest of the caller's nonce, or as the `misbehave` parameter of the content type says.
 * For tests and the quickstart only.
 */
export class ExecutorStandIn {
  readonly app = new Hono<{ Bindings: HttpBindings }>();
  readonly executions: Execution[] = [];
  readonly received: Received = { connections: 0, heads: 0 };
  readonly #running = new Set<Execution>();

  constructor(readonly name: string) {
    this.app.get('/healthz', (c) => c.json({ ok: true }));
    this.app.get('/admin/executions', (c) => c.json(this.executions));
    this.app.get('/admin/received', (c) => c.json({ ...this.received, running: this.running }));
    this.app.post('/jobs/:job', (c) => this.#run(c));
  }

  /** Number of executions that run now. */
  get running(): number {
    return this.#running.size;
  }

  /** Counts a connection to the executor. */
  countConnection(): void {
    this.received.connections += 1;
  }

  async #run(c: ExecutorContext): Promise<Response> {
    this.received.heads += 1;
    const misbehaviour = misbehaviourOf(c.req.header('content-type') ?? '');
    if (misbehaviour === 'cut-on-head') {
      c.env.incoming.socket.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    const work = parseWork(await c.req.text());
    const execution: Execution = {
      finished: false,
      id: c.req.header('sequoiaquay-request-id') ?? '',
      job: c.req.param('job') ?? '',
      nonce: work.nonce,
      startedAt: Date.now(),
    };
    this.executions.push(execution);
    this.#running.add(execution);
    await delay(Math.min(work.runMs, MAX_RUN_MS));
    execution.finished = true;
    this.#running.delete(execution);
    const body = {
      digest: createHash('sha256').update(work.nonce).digest('hex'),
      target: this.name,
    };
    return misbehaviour === undefined ? c.json(body) : misbehave(c, misbehaviour, work, JSON.stringify(body));
  }
}

async function misbehave(
  c: ExecutorContext,
  kind: Misbehaviour,
  work: Work,
  text: string,
): Promise<Response> {
  const { incoming, outgoing } = c.env;
  await answerWrongly({
    bytes: work.bytes,
    incoming,
    kind,
    outgoing: outgoing,
    pauseMs: work.pauseMs,
    text,
  });
  return RESPONSE_ALREADY_SENT;
}

function parseWork(text: string): Work {
  const none = { bytes: 0, nonce: text, pauseMs: 0, runMs: 0 };
  try {
    return { ...none, nonce: '', ...(JSON.parse(text) as Partial<Work>) };
  } catch {
    return none;
  }
}
