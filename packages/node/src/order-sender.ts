import type { Scheduler, StartOrder, StopOrder, ThrottleOrder, Worker } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import { OrderWindow, START_ANSWER } from '@sequoiaquay/core/jobs';
import type { NodeMetrics } from './node-metrics';
import type { PermitCache } from './permit-cache';
import type { WorkerLink } from './ports/worker-link';

/** Dependencies of the sender on its term. */
export interface OrderSenderContext {
  /** Resolves once an acknowledgement to a worker that is in flight has an outcome. */
  acknowledged: (worker: Worker) => Promise<void>;
  /** Returns whether this node may still extend the leases of runs. */
  canExtendLeases: () => boolean;
  /** Fencing token of the term. */
  epoch: number;
  /** Duration of the lease that a start order extends, in ms. */
  leaseMs: number;
  link: WorkerLink;
  /** Capacity of the node's link, in bytes a second; undefined if not known. */
  linkBytesPerS: number | undefined;
  metrics: NodeMetrics;
  /** Called after a worker's answer to a start or stop order has been handled. */
  onAnswer: (worker: Worker) => void;
  /** Called when a worker has accepted orders of a later term. */
  onFenced: (reason: string) => void;
  permits: Pick<PermitCache, 'onPermitRefused' | 'permitFor'>;
  /** Requests a new reading of a worker's clock; resolves once it has arrived or failed. */
  refreshClock: (worker: Worker) => Promise<void>;
  scheduler: Scheduler;
  timers: TimerService;
}

/** Timeout of an order to a worker, in ms. */
const ORDER_TIMEOUT_MS = 800;

/** Percentage that the scheduler never orders; marks a run whose percentage on the worker is not known. */
const UNKNOWN_PERCENT = 1;

/** Size of a start order without its job and checkpoint, with headers, in bytes. */
const ORDER_OVERHEAD_BYTES = 600;

/**
 * Longest time, in seconds, that the start orders in flight may occupy the link: a fraction of the timeout of
 * reports, which extend leases, and of orders to stop.
 */
const MAX_LINK_OCCUPANCY_S = 0.2;

interface PendingStart {
  bytes: number;
  id: number;
  order: StartOrder;
}

/** Sends the orders of a term to the workers and passes their answers to the scheduler. */
export class OrderSender {
  readonly #window: OrderWindow<PendingStart>;

  constructor(
    private readonly ctx: OrderSenderContext,
    private readonly signal: AbortSignal,
  ) {
    this.#window = new OrderWindow((ctx.linkBytesPerS ?? Infinity) * MAX_LINK_OCCUPANCY_S);
    signal.addEventListener('abort', () => {
      for (const { id } of this.#window.takeWaiting()) {
        ctx.metrics.recordOrderAnswer(id, ctx.timers.mono());
      }
    });
  }

  /**
   * Orders a run, planned at `plannedAt` in ms, to start once the link has room, unless the order has been
   * superseded by then.
   */
  start(order: StartOrder, plannedAt: number): void {
    if (this.signal.aborted) {
      return;
    }
    const { checkpoint, job } = order.task;
    const bytes = ORDER_OVERHEAD_BYTES + job.job.spec.body.length + checkpoint.length;
    const id = this.ctx.metrics.orders.add(plannedAt);
    this.#sendStarts(this.#window.add({ bytes, id, order }, bytes));
  }

  #sendStarts(starts: readonly PendingStart[]): void {
    for (const start of starts) {
      void this.#sendStart(start);
    }
  }

  async #sendStart({ bytes, id, order }: PendingStart): Promise<void> {
    await this.#start(order);
    this.ctx.metrics.recordOrderAnswer(id, this.ctx.timers.mono());
    if (!this.signal.aborted) {
      this.#sendStarts(this.#window.release(bytes));
    }
  }

  async #start(order: StartOrder): Promise<void> {
    const { link, timers } = this.ctx;
    const { run, task, worker } = order;
    // A lease by an old reading is shorter; the worker may also have been lost since.
    if (!worker.isClockRecent(timers.mono())) {
      this.ctx.metrics.recordClockRefresh();
      await this.ctx.refreshClock(worker);
    }
    if (worker.acknowledgement.isInFlight) {
      await this.ctx.acknowledged(worker);
    }
    if (!this.#isPending(order)) {
      return;
    }
    // The worker's capacity may have become smaller while the order waited.
    if (worker.isOvercommitted) {
      this.ctx.scheduler.onStartAnswer(order, START_ANSWER.noCapacity, timers.mono());
      return;
    }
    // Leadership or the worker may have been lost while the order waited.
    const mayStart = !worker.isUnresponsive && !worker.acknowledgement.isPending;
    const canSend = this.ctx.canExtendLeases() && mayStart;
    const deadline = canSend ? worker.extendLease(timers.mono(), this.ctx.leaseMs) : undefined;
    if (deadline === undefined) {
      this.ctx.scheduler.onStartAnswer(order, START_ANSWER.refused, timers.mono());
      return;
    }
    this.ctx.scheduler.onStartSent(order);
    const expected = worker.proofAt(timers.mono());
    const { answer, clockMs } = await link.start({
      body: task.job.job.spec.body,
      checkpoint: task.checkpoint,
      deadline: deadline,
      epoch: this.ctx.epoch,
      limitMs: ORDER_TIMEOUT_MS,
      maySend: () => this.ctx.canExtendLeases() && !worker.isOvercommitted,
      run,
      signal: this.signal,
      task: task.name,
      permit: this.ctx.permits.permitFor(task.name, worker.info.id),
      worker: worker.info,
    });
    if (this.signal.aborted) {
      return;
    }
    if (answer === START_ANSWER.fenced) {
      this.ctx.onFenced(`worker ${worker.info.id} has accepted orders of a later term`);
      return;
    }
    if (answer === START_ANSWER.noPermit) {
      this.ctx.permits.onPermitRefused(task.name, worker.info.id);
    }
    const clock = expected && clockMs !== undefined ? { expected, readingMs: clockMs } : undefined;
    this.ctx.scheduler.onStartAnswer(order, answer, timers.mono(), clock);
    this.ctx.onAnswer(worker);
  }

  #isPending(order: StartOrder): boolean {
    return !this.signal.aborted && this.ctx.scheduler.isStartPending(order);
  }

  /** Limits a run to a percentage of its processor time. */
  async throttle(order: ThrottleOrder): Promise<void> {
    const { percent, run, task, worker } = order;
    const call = { epoch: this.ctx.epoch, limitMs: ORDER_TIMEOUT_MS, signal: this.signal };
    const res = await this.ctx.link.throttle({ ...call, percent, run, task, worker: worker.info });
    const current = worker.runs.get(task);
    // Without an answer the percentage on the worker is unknown; its next report sets it again.
    if (res.isErr() && current?.run === run) {
      current.cpuSharePercent = UNKNOWN_PERCENT;
    }
  }

  /** Orders a run to stop. */
  async stop(order: StopOrder): Promise<void> {
    const { link, timers } = this.ctx;
    if (order.worker.info.address === '') {
      return;
    }
    const res = await link.stop({
      epoch: this.ctx.epoch,
      limitMs: ORDER_TIMEOUT_MS,
      run: order.run,
      signal: this.signal,
      task: order.task,
      worker: order.worker.info,
    });
    if (res.isOk()) {
      this.ctx.scheduler.onStopAcknowledged(order, timers.mono());
      this.ctx.onAnswer(order.worker);
    }
  }
}
