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
  name: string;
  secret: string;
  /** Age of the usage figures in reports, in ms. */
  usageLagMs: number;
}

/** Faults that the worker stand-in can be told to show. */
export const workerFaultsSchema = z.object({
  /** Everything that is started fails. */
  failAll: z.boolean().default(false),
  /** Delay added to every call, in ms. */
  slowMs: z.number().min(0).default(0),
  /** Factor by which started work takes longer. */
  slowdown: z.number().min(1).default(1),
});

const startSchema = z.object({
  body: z.string(),
  checkpoint: z.string().optional(),
  contentType: z.string(),
  demand: resourcesSchema,
  job: z.string(),
  leaseMs: z.int().min(1),
  urgent: z.boolean(),
});

const TICK_MS = 20;

/**
 * Stand-in for a worker of the platform: runs each attempt for the time that its body asks for, stops it when
 * its lease lapses, and keeps a record of everything that it really started. For tests and the quickstart only.
 */
export class WorkerStandIn {
  readonly app = new Hono();
  #faults = workerFaultsSchema.parse({});
  /** Attempts that were stopped before they arrived; a late start of one is refused. */
  readonly #fenced = new Set<string>();
  readonly refusals = { fenced: 0, noRoom: 0 };
  readonly #runs = new Map<string, WorkerRun>();
  readonly #startedAt = Date.now();

  constructor(private readonly settings: WorkerStandInSettings) {
    this.#routeAdmin();
    this.#guard();
    this.#routeAttempts();
  }

  /** Moves all runs on; runs until the process ends. */
  start(): void {
    setInterval(() => {
      for (const run of this.#runs.values()) {
        run.tick();
      }
    }, TICK_MS);
  }

  #routeAdmin(): void {
    this.app.get('/healthz', (c) => c.json({ ok: true }));
    this.app.get('/admin/runs', (c) => c.json([...this.#runs.values()].map((run) => run.record())));
    this.app.get('/admin/refusals', (c) => c.json(this.refusals));
    this.app.put('/admin/faults', async (c) => {
      this.#faults = workerFaultsSchema.parse(await c.req.json());
      return c.json({ accepted: true });
    });
  }

  #guard(): void {
    this.app.use('/v1/*', async (c, next) => {
      if (c.req.header('authorization') !== `Bearer ${this.settings.secret}`) {
        return c.json({ error: 'bad secret' }, 401);
      }
      await delay(this.#faults.slowMs);
      await next();
      return undefined;
    });
  }

  #routeAttempts(): void {
    const path = '/v1/tasks/:task/attempts/:attempt';
    this.app.post(path, (c) => this.#startAttempt(c));
    this.app.get(path, (c) => this.#withRun(c, () => undefined));
    this.app.delete(path, (c) => this.#stop(c));
    this.app.post(`${path}/renew`, async (c) => {
      const { leaseMs } = z.object({ leaseMs: z.int().min(1) }).parse(await c.req.json());
      return this.#withRun(c, (run) => {
        run.renew(leaseMs);
      });
    });
    this.app.post(`${path}/throttle`, async (c) => {
      const { share } = z.object({ share: z.number().min(0).max(1) }).parse(await c.req.json());
      this.#runs.get(keyOf(c))?.throttle(share);
      return c.json({ accepted: true });
    });
    this.app.post(`${path}/checkpoint`, (c) => {
      if (this.#runs.get(keyOf(c))?.canCheckpoint === false) {
        return c.json({ error: 'the work has no checkpoints' }, 409);
      }
      return this.#withRun(c, (run) => {
        run.end('checkpointed');
      });
    });
  }

  async #startAttempt(c: Context): Promise<Response> {
    const spec = startSchema.parse(await c.req.json());
    const key = keyOf(c);
    const known = this.#runs.get(key);
    if (known !== undefined) {
      return c.json(known.report());
    }
    const task = c.req.param('task') ?? '';
    const attempt = Number(c.req.param('attempt'));
    if (this.#fenced.has(key) || this.#hasLaterAttempt(task, attempt)) {
      this.refusals.fenced += 1;
      return c.json({ error: 'the attempt was stopped or replaced' }, 409);
    }
    if (!this.#hasRoom(spec.demand)) {
      this.refusals.noRoom += 1;
      this.#fenced.add(key);
      return c.json({ error: 'no room' }, 429);
    }
    const run = new WorkerRun(task, attempt, spec, this.#runSettings());
    this.#runs.set(key, run);
    return c.json(run.report());
  }

  #stop(c: Context): Response {
    const run = this.#runs.get(keyOf(c));
    run?.end('stopped', 'stopped on request');
    this.#fenced.add(keyOf(c));
    return c.json({ started: run !== undefined, upMs: Date.now() - this.#startedAt });
  }

  #withRun(c: Context, act: (run: WorkerRun) => void): Response {
    const run = this.#runs.get(keyOf(c));
    if (run === undefined) {
      return c.json({ error: 'unknown attempt' }, 404);
    }
    run.tick();
    act(run);
    return c.json(run.report());
  }

  #hasLaterAttempt(task: string, attempt: number): boolean {
    return [...this.#runs.values()].some((run) => run.task === task && run.attempt > attempt);
  }

  #hasRoom(demand: Resources): boolean {
    const running = [...this.#runs.values()].filter((run) => run.running);
    const used = running.reduce((sum, run) => plus(sum, run.report().usage ?? run.spec.demand), NO_RESOURCES);
    return running.length === 0 || fits(demand, minus(this.settings.capacity, used));
  }

  #runSettings(): WorkerRunSettings {
    return {
      failAll: this.#faults.failAll,
      slowdown: this.#faults.slowdown,
      usageLagMs: this.settings.usageLagMs,
      worker: this.settings.name,
    };
  }
}

function keyOf(c: Context): string {
  return `${c.req.param('task') ?? ''}/${c.req.param('attempt') ?? ''}`;
}
