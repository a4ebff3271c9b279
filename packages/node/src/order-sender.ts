import type { Scheduler, StartOrder, StopOrder, ThrottleOrder, Worker } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import { START_ANSWER } from '@sequoiaquay/core/jobs';
import type { WorkerLink } from './ports/worker-link';

/** What the sender needs of the term it belongs to. */
export interface OrderContext {
  epoch: number;
  /** Lease that each order extends, in ms. */
  leaseMs: number;
  link: WorkerLink;
  /** Called with each worker that has answered. */
  onAnswer: (worker: Worker) => void;
  onFenced: (reason: string) => void;
  /** Permit for a task on a worker; empty where none is needed. */
  permit: (task: string, workerId: string) => string;
  scheduler: Scheduler;
  timers: TimerService;
}

/** Limit for an order to a worker, in ms. */
const ORDER_LIMIT_MS = 800;

/** Stands for a share that differs from any that is ordered. */
const UNKNOWN_PACE = 1;

/** Sends the orders of a term to the workers and gives the answers to the scheduler. */
export class OrderSender {
  constructor(
    private readonly ctx: OrderContext,
    private readonly signal: AbortSignal,
  ) {}

  /** Orders a run to start, unless it has been stopped since it was planned. */
  async start(order: StartOrder): Promise<void> {
    const { link, timers } = this.ctx;
    const { run, task, worker } = order;
    if (!this.ctx.scheduler.isStartPending(order)) {
      return;
    }
    const deadline = worker.extendLease(timers.mono(), this.ctx.leaseMs);
    if (deadline === undefined) {
      this.ctx.scheduler.onStartAnswer(order, START_ANSWER.refused, timers.mono());
      return;
    }
    const answer = await link.start({
      body: task.job.job.spec.body,
      checkpoint: task.checkpoint,
      deadline,
      epoch: this.ctx.epoch,
      limitMs: ORDER_LIMIT_MS,
      run,
      signal: this.signal,
      task: task.name,
      ticket: this.ctx.permit(task.name, worker.info.id),
      worker: worker.info,
    });
    if (this.signal.aborted) {
      return;
    }
    if (answer === START_ANSWER.fenced) {
      this.ctx.onFenced(`worker ${worker.info.id} has taken orders of a later term`);
      return;
    }
    this.ctx.scheduler.onStartAnswer(order, answer, timers.mono());
    this.ctx.onAnswer(worker);
  }

  /** Orders a run to use a share of its processor time. */
  async pace(order: ThrottleOrder): Promise<void> {
    const { percent, run, task, worker } = order;
    const context = { epoch: this.ctx.epoch, limitMs: ORDER_LIMIT_MS, signal: this.signal };
    const res = await this.ctx.link.pace({ ...context, percent, run, task, worker: worker.info });
    const current = worker.runs.get(task);
    // Without an answer the share is not known, and the next report sets it again.
    if (res.isErr() && current?.run === run) {
      current.cpuSharePercent = UNKNOWN_PACE;
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
      limitMs: ORDER_LIMIT_MS,
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
