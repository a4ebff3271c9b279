import type { Context } from 'hono';
import { Hono } from 'hono';
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

/** One execution that the executor has started. */
export interface Execution {
  finished: boolean;
  id: string;
  job: string;
  nonce: string;
  startedAt: number;
}

const MAX_RUN_MS = 120_000;

/**
 * Stand-in for a target: runs each request for the time that its body asks for, counts what it ran, and
 * answers with a digest of the caller's nonce. For tests and the quickstart only.
 */
export class ExecutorStandIn {
  readonly app = new Hono();
  readonly executions: Execution[] = [];
  readonly #running = new Set<Execution>();

  constructor(readonly name: string) {
    this.app.get('/healthz', (c) => c.json({ ok: true }));
    this.app.get('/admin/executions', (c) => c.json(this.executions));
    this.app.post('/jobs/:job', (c) => this.#run(c));
  }

  /** Number of executions that run now. */
  get running(): number {
    return this.#running.size;
  }

  async #run(c: Context): Promise<Response> {
    const text = await c.req.text();
    const work = parseWork(text);
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
    return c.json({
      digest: createHash('sha256').update(work.nonce).digest('hex'),
      target: this.name,
    });
  }
}

function parseWork(text: string): { nonce: string; runMs: number } {
  try {
    const value = JSON.parse(text) as { nonce?: string; runMs?: number };
    return { nonce: value.nonce ?? '', runMs: value.runMs ?? 0 };
  } catch {
    return { nonce: text, runMs: 0 };
  }
}
