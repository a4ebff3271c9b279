import type { AttemptReport, AttemptSpec } from '@sequoiaquay/platform';
import { createHash } from 'node:crypto';
import * as z from 'zod';

/** What the body of a task asks the worker stand-in for. Times in ms, memory in MB. */
const wishSchema = z.object({
  /** Whether the work can be checkpointed and continued elsewhere. */
  checkpoint: z.boolean().default(true),
  /** Whether the work fails wherever it runs. */
  fail: z.boolean().default(false),
  /** Memory that the work really uses. */
  memoryMb: z.number().optional(),
  nonce: z.string().default(''),
  /** Processors that the work really uses. */
  processors: z.number().optional(),
  runMs: z.number().min(0).default(0),
});

/** Settings of a run. */
export interface WorkerRunSettings {
  failAll: boolean;
  /** Factor by which the run takes longer. */
  slowdown: number;
  usageLagMs: number;
  worker: string;
}

/** One attempt that the worker stand-in has started: a piece of work that takes a set time. */
export class WorkerRun {
  #doneMs: number;
  #endedAt: number | undefined;
  #lastTick = Date.now();
  #leaseUntil: number;
  #reason: string | undefined;
  #share = 1;
  readonly #startedAt = Date.now();
  #state: AttemptReport['state'] = 'running';
  readonly #wish: z.infer<typeof wishSchema>;

  constructor(
    readonly task: string,
    readonly attempt: number,
    readonly spec: AttemptSpec,
    private readonly settings: WorkerRunSettings,
  ) {
    this.#wish = parseWish(spec.body);
    this.#doneMs = Number(spec.checkpoint ?? 0);
    this.#leaseUntil = Date.now() + spec.leaseMs;
  }

  get running(): boolean {
    return this.#state === 'running';
  }

  get canCheckpoint(): boolean {
    return this.#wish.checkpoint;
  }

  /** Extends the lease from now on. */
  renew(leaseMs: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, Date.now() + leaseMs);
  }

  /** Limits the speed to a share. */
  throttle(share: number): void {
    this.#share = share;
  }

  /** Ends the run with a state. */
  end(state: AttemptReport['state'], reason?: string): void {
    if (this.running) {
      this.#state = state;
      this.#reason = reason;
      this.#endedAt = Date.now();
    }
  }

  /** Moves the run on to the present time. */
  tick(): void {
    const now = Date.now();
    const passedMs = now - this.#lastTick;
    this.#lastTick = now;
    if (!this.running) {
      return;
    }
    // A lease that lapsed while the worker itself was paused ends the run before any more work.
    if (now > this.#leaseUntil) {
      this.end('stopped', 'the lease lapsed');
      return;
    }
    this.#doneMs += (passedMs * this.#share) / this.settings.slowdown;
    if (this.settings.failAll || this.#wish.fail) {
      this.end('failed', this.settings.failAll ? 'the worker fails everything' : 'the work fails everywhere');
    } else if (this.#doneMs >= this.#wish.runMs) {
      this.end('done');
    }
  }

  /** What the worker says about the run. */
  report(): AttemptReport {
    return {
      answer: this.#state === 'done' ? this.#answer() : undefined,
      checkpoint: this.#wish.checkpoint ? String(Math.floor(this.#doneMs)) : undefined,
      progress: this.#wish.runMs === 0 ? 1 : Math.min(1, this.#doneMs / this.#wish.runMs),
      reason: this.#reason,
      state: this.#state,
      usage: this.#usage(),
    };
  }

  /** The run as the stand-in's own records show it. */
  record(): WorkerRunRecord {
    return {
      attempt: this.attempt,
      continuedFrom: Number(this.spec.checkpoint ?? 0),
      endedAt: this.#endedAt,
      nonce: this.#wish.nonce,
      startedAt: this.#startedAt,
      state: this.#state,
      task: this.task,
    };
  }

  #answer(): { body: string; contentType: string } {
    const digest = createHash('sha256').update(this.#wish.nonce).digest('hex');
    const answer = { attempt: this.attempt, digest, worker: this.settings.worker };
    return { body: JSON.stringify(answer), contentType: 'application/json' };
  }

  #usage(): AttemptReport['usage'] {
    const asOf = Date.now() - this.settings.usageLagMs;
    if (asOf < this.#startedAt) {
      return undefined;
    }
    const { accelerators, memoryMb, processors } = this.spec.demand;
    return {
      accelerators,
      asOf,
      memoryMb: this.#wish.memoryMb ?? memoryMb,
      processors: this.#wish.processors ?? processors,
    };
  }
}

/** Record of one start, as the worker stand-in keeps it. Times in ms since the epoch. */
export interface WorkerRunRecord {
  attempt: number;
  /** Work that an earlier attempt had done, in ms. */
  continuedFrom: number;
  endedAt?: number;
  nonce: string;
  startedAt: number;
  state: AttemptReport['state'];
  task: string;
}

function parseWish(body: string): z.infer<typeof wishSchema> {
  try {
    return wishSchema.parse(JSON.parse(body));
  } catch {
    return wishSchema.parse({ nonce: body });
  }
}
