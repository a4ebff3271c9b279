import type { Scheduler, Worker } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { WorkerLink } from './ports/worker-link';
import { LINK_FAILURE } from './ports/worker-link';

/** What a loop needs of the term it belongs to. */
export interface WorkerLoopContext {
  epoch: number;
  /** Whether this node may still keep runs alive. */
  isFresh: () => boolean;
  /** Lease that each report extends, in ms. */
  leaseMs: number;
  link: WorkerLink;
  log: Logger;
  onChange: () => void;
  onFenced: (reason: string) => void;
  scheduler: Scheduler;
  timers: TimerService;
}

/** Time for which a worker waits for an end before it answers, in ms. */
const WAIT_MS = 1000;

/** The same, for workers on which tasks that fill idle time may disturb others. */
const SHARED_WAIT_MS = 400;

/** Limit for an answer beyond the time that the worker waits, in ms. */
const LIMIT_MS = 700;

/** Pause after a report that failed, in ms. */
const RETRY_MS = 250;

/** Longest pause between reports while ends wait to be stored, in ms. */
const STORE_WAIT_MS = 400;

/** Pause before the next look at a run that is being stopped, in ms. */
const STOP_LOOK_MS = 60;

/** Keeps the runs of one worker alive and learns how they end. */
export class WorkerLoop {
  #wake: (() => void) | undefined;

  constructor(
    private readonly worker: Worker,
    private readonly ctx: WorkerLoopContext,
    private readonly signal: AbortSignal,
  ) {}

  /** Lets the loop look at once whether there is something to do. */
  wake(): void {
    this.#wake?.();
  }

  /** Runs until the signal aborts or the worker is dropped. */
  async run(): Promise<void> {
    const { scheduler } = this.ctx;
    while (!this.signal.aborted && scheduler.workers.get(this.worker.info.id) === this.worker) {
      if (!this.#hasWork()) {
        await this.#sleep(WAIT_MS);
      } else if (this.ctx.isFresh()) {
        await this.#report();
      } else {
        await this.#sleep(RETRY_MS);
      }
    }
  }

  #hasWork(): boolean {
    const { worker } = this;
    return (
      worker.info.address !== '' &&
      (!worker.isFenced ||
        worker.isUnresponsive ||
        worker.runs.size > 0 ||
        worker.endsStored < worker.endsRead)
    );
  }

  async #report(): Promise<void> {
    const { ctx, worker } = this;
    const askedAt = ctx.timers.mono();
    const res = await ctx.link.report({
      deadline: this.#deadline(askedAt),
      endsStored: worker.endsStored,
      epoch: ctx.epoch,
      limitMs: LIMIT_MS,
      signal: this.signal,
      waitMs: this.#waitMs(),
      worker: worker.info,
    });
    if (this.signal.aborted) {
      return;
    }
    if (res.isOk()) {
      ctx.scheduler.onReport(worker, res.value, askedAt, ctx.timers.mono());
      ctx.onChange();
      await this.#settle();
      return;
    }
    if (res.error.kind === LINK_FAILURE.fenced) {
      ctx.onFenced(`worker ${worker.info.id} has taken orders of a later term`);
      return;
    }
    if (!worker.isUnresponsive) {
      ctx.log.warn(
        { error: res.error.message, runs: worker.runs.size, worker: worker.info.id },
        'worker silent',
      );
    }
    ctx.scheduler.onWorkerUnresponsive(worker);
    await this.#sleep(RETRY_MS);
  }

  // A worker that does not answer might still extend its lease, and would keep its tasks from others.
  #deadline(now: number): number | undefined {
    const { worker } = this;
    return worker.runs.size > 0 && !worker.isUnresponsive
      ? worker.extendLease(now, this.ctx.leaseMs)
      : undefined;
  }

  // A report lists the same ends again until they are stored, so the next one waits for that.
  async #settle(): Promise<void> {
    if (this.worker.endsStored < this.worker.endsRead) {
      await this.#sleep(STORE_WAIT_MS);
    } else if (this.#isStopping()) {
      await this.#sleep(STOP_LOOK_MS);
    }
  }

  #waitMs(): number {
    const { worker } = this;
    const mustLook = !worker.isFenced || worker.isUnresponsive || worker.runs.size === 0;
    if (mustLook || worker.endsStored < worker.endsRead || this.#isStopping()) {
      return 0;
    }
    const runs = [...worker.runs.values()];
    const isShared =
      runs.some((task) => task.step.spec.fillsIdle) && runs.some((task) => task.step.spec.tailTargetMs > 0);
    return isShared ? SHARED_WAIT_MS : WAIT_MS;
  }

  #isStopping(): boolean {
    return [...this.worker.runs.values()].some(
      (task) => task.phase === 'stopping' || task.phase === 'unconfirmed',
    );
  }

  async #sleep(delayMs: number): Promise<void> {
    const pause = new AbortController();
    const end = (): void => {
      pause.abort();
    };
    this.#wake = end;
    this.signal.addEventListener('abort', end, { once: true });
    await this.ctx.timers.sleep(delayMs, pause.signal);
    this.signal.removeEventListener('abort', end);
    this.#wake = undefined;
  }
}
