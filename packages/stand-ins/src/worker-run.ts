import type { AttemptReport, AttemptSpec } from '@sequoiaquay/platform';
import { createHash } from 'node:crypto';
import * as z from 'zod';

/** Schema of a task body, which specifies how the simulated work behaves. Times in ms, memory in MB. */
const taskBodySchema = z.object({
  /** Whether the work can be checkpointed and continued on another worker. */
  checkpoint: z.boolean().default(true),
  /** Whether the work fails on every worker. */
  fail: z.boolean().default(false),
  /** Memory that the work uses; the declared demand by default. */
  memoryMb: z.number().optional(),
  nonce: z.string().default(''),
  /** Processors that the work uses; the declared demand by default. */
  processors: z.number().optional(),
  runMs: z.number().min(0).default(0),
});

/** Settings of the worker that apply to a run. */
export interface WorkerRunSettings {
  /** Whether every run on this worker fails. */
  failAll: boolean;
  /** Factor by which the run takes longer. */
  slowdown: number;
  /** Age of the reported usage, in ms. */
  usageLagMs: number;
  workerName: string;
}

/** Simulates one started attempt of a task: work that takes a fixed time while its lease is valid. */
export class WorkerRun {
  #completedMs: number;
  #endedAt: number | undefined;
  #lastTickAt = Date.now();
  #leaseExpiresAt: number;
  #endReason: string | undefined;
  #cpuShare = 1;
  readonly #startedAt = Date.now();
  #state: AttemptReport['state'] = 'running';
  readonly #taskBody: z.infer<typeof taskBodySchema>;

  constructor(
    readonly task: string,
    readonly attempt: number,
    readonly spec: AttemptSpec,
    private readonly settings: WorkerRunSettings,
  ) {
    this.#taskBody = parseTaskBody(spec.body);
    this.#completedMs = Number(spec.checkpoint ?? 0);
    this.#leaseExpiresAt = Date.now() + spec.leaseMs;
  }

  get isRunning(): boolean {
    return this.#state === 'running';
  }

  get canCheckpoint(): boolean {
    return this.#taskBody.checkpoint;
  }

  /** Extends the lease to `leaseMs` from now; never shortens it. */
  renew(leaseMs: number): void {
    this.#leaseExpiresAt = Math.max(this.#leaseExpiresAt, Date.now() + leaseMs);
  }

  /** Limits the run to a share of its full speed, from 0 to 1. */
  throttle(share: number): void {
    this.#cpuShare = share;
  }

  /** Ends the run with a state, unless it has already ended. */
  end(state: AttemptReport['state'], reason?: string): void {
    if (this.isRunning) {
      this.#state = state;
      this.#endReason = reason;
      this.#endedAt = Date.now();
    }
  }

  /** Advances the work to the current time and ends the run when it is complete, has failed or lost its lease. */
  advance(): void {
    const now = Date.now();
    const elapsedMs = now - this.#lastTickAt;
    this.#lastTickAt = now;
    if (!this.isRunning) {
      return;
    }
    // When the worker process itself was paused beyond the lease, the run ends without counting further work.
    if (now > this.#leaseExpiresAt) {
      this.end('stopped', 'the lease lapsed');
      return;
    }
    this.#completedMs += (elapsedMs * this.#cpuShare) / this.settings.slowdown;
    if (this.settings.failAll || this.#taskBody.fail) {
      this.end('failed', this.settings.failAll ? 'the worker fails everything' : 'the work fails everywhere');
    } else if (this.#completedMs >= this.#taskBody.runMs) {
      this.end('done');
    }
  }

  /** Returns the state, progress and usage of the run as the worker reports them. */
  report(): AttemptReport {
    return {
      answer: this.#state === 'done' ? this.#buildAnswer() : undefined,
      checkpoint: this.#taskBody.checkpoint ? String(Math.floor(this.#completedMs)) : undefined,
      progress: this.#taskBody.runMs === 0 ? 1 : Math.min(1, this.#completedMs / this.#taskBody.runMs),
      reason: this.#endReason,
      state: this.#state,
      usage: this.#measureUsage(),
    };
  }

  /** Returns the record of the run that is served under /admin/runs. */
  toRecord(): WorkerRunRecord {
    return {
      attempt: this.attempt,
      continuedFrom: Number(this.spec.checkpoint ?? 0),
      endedAt: this.#endedAt,
      nonce: this.#taskBody.nonce,
      startedAt: this.#startedAt,
      state: this.#state,
      task: this.task,
    };
  }

  #buildAnswer(): { body: string; contentType: string } {
    const digest = createHash('sha256').update(this.#taskBody.nonce).digest('hex');
    const answer = { attempt: this.attempt, digest, worker: this.settings.workerName };
    return { body: JSON.stringify(answer), contentType: 'application/json' };
  }

  #measureUsage(): AttemptReport['usage'] {
    const asOf = Date.now() - this.settings.usageLagMs;
    if (asOf < this.#startedAt) {
      return undefined;
    }
    const { accelerators, memoryMb, processors } = this.spec.demand;
    return {
      accelerators,
      asOf,
      memoryMb: this.#taskBody.memoryMb ?? memoryMb,
      processors: this.#taskBody.processors ?? processors,
    };
  }
}

/** Record of a started attempt, as served under /admin/runs. Times in ms since the epoch. */
export interface WorkerRunRecord {
  attempt: number;
  /** Work that earlier attempts had completed, in ms. */
  continuedFrom: number;
  endedAt?: number;
  nonce: string;
  startedAt: number;
  state: AttemptReport['state'];
  task: string;
}

function parseTaskBody(body: string): z.infer<typeof taskBodySchema> {
  try {
    return taskBodySchema.parse(JSON.parse(body));
  } catch {
    return taskBodySchema.parse({ nonce: body });
  }
}
