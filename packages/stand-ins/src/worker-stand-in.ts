import type { Resources } from '@sequoiaquay/core';
import type { Context } from 'hono';
import { fits, minus, NO_RESOURCES, plus, resourcesSchema } from '@sequoiaquay/core';
import { Hono } from 'hono';
import { setTimeout as delay } from 'node:timers/promises';
import * as z from 'zod';
import type { WorkerRunSettings } from './worker-run';
import { WorkerRun } from './worker-run';

/** Settings of the worker stand-in. */
export interface WorkerStandInSettings {
  capacity: Resources;
  /** Name that is returned in answers. */
  name: string;
  /** Bearer token that callers must send. */
  secret: string;
  /** Age of the usage in reports, in ms. */
  usageLagMs: number;
}

/** Schema of the faults that the worker stand-in injects. */
export const workerFaultsSchema = z.object({
  /** Fails every run that starts while the fault is set. */
  failAll: z.boolean().default(false),
  /** Delay added to every call, in ms. */
  slowMs: z.number().min(0).default(0),
  /** Factor by which runs that start while the fault is set take longer. */
  slowdown: z.number().min(1).default(1),
});

const startRequestSchema = z.object({
  body: z.string(),
  checkpoint: z.string().optional(),
  contentType: z.string(),
  demand: resourcesSchema,
  job: z.string(),
  leaseMs: z.int().min(1),
  urgent: z.boolean(),
});

const TICK_INTERVAL_MS = 20;

/**
 * Stand-in for a worker of the platform. Each attempt runs for the time that its body specifies, stops when its
 * lease expires, and is recorded when it has actually started. For tests and the quickstart only.
 */
export class WorkerStandIn {
  readonly app = new Hono();
  #faults = workerFaultsSchema.parse({});
  /** Attempts that were stopped or refused; a start order for one that arrives later is refused. */
  readonly #fencedAttempts = new Set<string>();
  /** Numbers of refused start orders by reason, as served under /admin/refusals. */
  readonly refusals = { fenced: 0, noRoom: 0 };
  readonly #runsByAttempt = new Map<string, WorkerRun>();
  readonly #startedAt = Date.now();

  constructor(private readonly settings: WorkerStandInSettings) {
    this.#addAdminRoutes();
    this.#addRequestChecks();
    this.#addAttemptRoutes();
  }

  /** Starts a timer that advances all runs every 20 ms until the process ends. */
  start(): void {
    setInterval(() => {
      for (const run of this.#runsByAttempt.values()) {
        run.advance();
      }
    }, TICK_INTERVAL_MS);
  }

  #addAdminRoutes(): void {
    this.app.get('/healthz', (c) => c.json({ ok: true }));
    this.app.get('/admin/runs', (c) =>
      c.json([...this.#runsByAttempt.values()].map((run) => run.toRecord())),
    );
    this.app.get('/admin/refusals', (c) => c.json(this.refusals));
    this.app.put('/admin/faults', async (c) => {
      this.#faults = workerFaultsSchema.parse(await c.req.json());
      return c.json({ accepted: true });
    });
  }

  #addRequestChecks(): void {
    this.app.use('/v1/*', async (c, next) => {
      if (c.req.header('authorization') !== `Bearer ${this.settings.secret}`) {
        return c.json({ error: 'bad secret' }, 401);
      }
      await delay(this.#faults.slowMs);
      await next();
      return undefined;
    });
  }

  #addAttemptRoutes(): void {
    const attemptPath = '/v1/tasks/:task/attempts/:attempt';
    this.app.post(attemptPath, (c) => this.#startAttempt(c));
    this.app.get(attemptPath, (c) => this.#updateRun(c, () => undefined));
    this.app.delete(attemptPath, (c) => this.#stopAttempt(c));
    this.app.post(`${attemptPath}/renew`, async (c) => {
      const { leaseMs } = z.object({ leaseMs: z.int().min(1) }).parse(await c.req.json());
      return this.#updateRun(c, (run) => {
        run.renew(leaseMs);
      });
    });
    this.app.post(`${attemptPath}/throttle`, async (c) => {
      const { share } = z.object({ share: z.number().min(0).max(1) }).parse(await c.req.json());
      this.#runsByAttempt.get(attemptKeyOf(c))?.throttle(share);
      return c.json({ accepted: true });
    });
    this.app.post(`${attemptPath}/checkpoint`, (c) => {
      if (this.#runsByAttempt.get(attemptKeyOf(c))?.canCheckpoint === false) {
        return c.json({ error: 'the work has no checkpoints' }, 409);
      }
      return this.#updateRun(c, (run) => {
        run.end('checkpointed');
      });
    });
  }

  async #startAttempt(c: Context): Promise<Response> {
    const spec = startRequestSchema.parse(await c.req.json());
    const key = attemptKeyOf(c);
    const existing = this.#runsByAttempt.get(key);
    if (existing !== undefined) {
      return c.json(existing.report());
    }
    const task = c.req.param('task') ?? '';
    const attempt = Number(c.req.param('attempt'));
    if (this.#fencedAttempts.has(key) || this.#hasLaterAttempt(task, attempt)) {
      this.refusals.fenced += 1;
      return c.json({ error: 'the attempt was stopped or replaced' }, 409);
    }
    if (!this.#hasFreeCapacity(spec.demand)) {
      this.refusals.noRoom += 1;
      this.#fencedAttempts.add(key);
      return c.json({ error: 'no room' }, 429);
    }
    const run = new WorkerRun(task, attempt, spec, this.#createRunSettings());
    this.#runsByAttempt.set(key, run);
    return c.json(run.report());
  }

  #stopAttempt(c: Context): Response {
    const run = this.#runsByAttempt.get(attemptKeyOf(c));
    run?.end('stopped', 'stopped on request');
    this.#fencedAttempts.add(attemptKeyOf(c));
    return c.json({ started: run !== undefined, upMs: Date.now() - this.#startedAt });
  }

  #updateRun(c: Context, update: (run: WorkerRun) => void): Response {
    const run = this.#runsByAttempt.get(attemptKeyOf(c));
    if (run === undefined) {
      return c.json({ error: 'unknown attempt' }, 404);
    }
    run.advance();
    update(run);
    return c.json(run.report());
  }

  #hasLaterAttempt(task: string, attempt: number): boolean {
    return [...this.#runsByAttempt.values()].some((run) => run.task === task && run.attempt > attempt);
  }

  #hasFreeCapacity(demand: Resources): boolean {
    const runningRuns = [...this.#runsByAttempt.values()].filter((run) => run.isRunning);
    const usage = runningRuns.reduce(
      (sum, run) => plus(sum, run.report().usage ?? run.spec.demand),
      NO_RESOURCES,
    );
    return runningRuns.length === 0 || fits(demand, minus(this.settings.capacity, usage));
  }

  #createRunSettings(): WorkerRunSettings {
    return {
      failAll: this.#faults.failAll,
      slowdown: this.#faults.slowdown,
      usageLagMs: this.settings.usageLagMs,
      workerName: this.settings.name,
    };
  }
}

function attemptKeyOf(c: Context): string {
  return `${c.req.param('task') ?? ''}/${c.req.param('attempt') ?? ''}`;
}
