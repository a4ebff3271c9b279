import type { Scheduler, Worker, WorkerReport } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { isStartingTasks } from '@sequoiaquay/core/jobs';
import type { LinkError, WorkerLink } from './ports/worker-link';
import { LINK_FAILURE } from './ports/worker-link';

/** Dependencies of a loop on its term. */
export interface WorkerLoopContext {
  /** Returns whether this node may still extend the leases of runs. */
  canExtendLeases: () => boolean;
  /** Fencing token of the term. */
  epoch: number;
  /** Duration of the lease that each report request extends, in ms. */
  leaseMs: number;
  link: WorkerLink;
  log: Logger;
  /** Called after a report has been applied. */
  onChange: () => void;
  /** Called when the worker has accepted orders of a later term. */
  onFenced: (reason: string) => void;
  scheduler: Scheduler;
  timers: TimerService;
}

/** Longest time for which a worker waits for a run to end before it reports, in ms. */
const REPORT_WAIT_MS = 1000;

/** The same, in ms, for a worker on which best-effort tasks may slow down tasks with a latency target. */
const SHARED_REPORT_WAIT_MS = 400;

/** Timeout of a report request, in ms, to which the time that the worker waits is added. */
const REPORT_TIMEOUT_MS = 700;

/**
 * Timeout of a report request to a worker that did not answer the last one, or that acknowledges ends, in ms. Longer, so
 * that a worker that is only slow answers before the lease of its runs ends, and is not closed for an acknowledgement
 * without an answer; shorter than what is left of the lease by then.
 */
const PROBE_TIMEOUT_MS = 1600;

/** Delay after a failed report request, and between reports while ends can't be acknowledged, in ms. */
const RETRY_DELAY_MS = 250;

/** Longest pause between reports while the ends of runs are being stored, in ms. */
const MAX_STORE_WAIT_MS = 400;

/** Pause between reports while a run is being stopped, and longest wait for the answers to start orders, in ms. */
const POLL_INTERVAL_MS = 60;

/** Requests the reports of one worker, which extends the leases of its runs and returns their ends. */
export class WorkerLoop {
  #endPause: (() => void) | undefined;
  /** Called once the acknowledgement in flight has an outcome. */
  #onAcknowledged: (() => void)[] = [];
  /** Called once the next report has arrived or failed. */
  #onNextReport: (() => void)[] = [];

  constructor(
    private readonly worker: Worker,
    private readonly ctx: WorkerLoopContext,
    private readonly signal: AbortSignal,
  ) {}

  /** Ends the current pause of the loop, so that it checks at once whether a report is needed. */
  wakeUp(): void {
    this.#endPause?.();
  }

  /** Requests a report of an idle worker; resolves once it has been handled, has failed or can't be requested. */
  refresh(): Promise<void> {
    if (!this.#isNeeded) {
      return Promise.resolve();
    }
    const settled = new Promise<void>((resolve) => {
      this.#onNextReport.push(resolve);
    });
    this.wakeUp();
    return settled;
  }

  /** Resolves once the acknowledgement in flight, if there is one, has an outcome. */
  acknowledged(): Promise<void> {
    if (!this.worker.acknowledgement.isInFlight) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#onAcknowledged.push(resolve);
    });
  }

  /** Runs until the signal aborts or the scheduler drops the worker. */
  async run(): Promise<void> {
    try {
      await this.#requestReports();
    } finally {
      this.#loseAcknowledgement();
      this.#settleRefresh();
      settleAll(this.#onAcknowledged);
    }
  }

  get #isNeeded(): boolean {
    return !this.signal.aborted && this.ctx.scheduler.workers.get(this.worker.info.id) === this.worker;
  }

  async #requestReports(): Promise<void> {
    while (this.#isNeeded) {
      const needsReport = this.#needsReport();
      if (needsReport && this.ctx.canExtendLeases()) {
        await this.#requestReport();
        continue;
      }
      this.#settleRefresh();
      await this.#sleep(needsReport ? RETRY_DELAY_MS : REPORT_WAIT_MS);
    }
  }

  #settleRefresh(): void {
    settleAll(this.#onNextReport);
  }

  #needsReport(): boolean {
    const { worker } = this;
    // Kept only because calls without an answer may reach a later incarnation.
    const hasLeft = worker.isDeregistered && worker.runs.size === 0 && worker.finishedMembers.size === 0;
    return (
      worker.info.address !== '' &&
      !hasLeft &&
      (this.#onNextReport.length > 0 ||
        !worker.isFenced ||
        worker.isUnresponsive ||
        worker.runs.size > 0 ||
        worker.orphans.size > 0 ||
        worker.finishedMembers.size > 0 ||
        worker.endsAcknowledged < worker.endsRead)
    );
  }

  // Orders that are planned with the end of a run are sent when it is stored, and answered soon after.
  async #awaitStartsInFlight(): Promise<void> {
    const { ctx, worker } = this;
    const giveUpAt = ctx.timers.mono() + POLL_INTERVAL_MS;
    let remainingMs = POLL_INTERVAL_MS;
    while (worker.hasUnacknowledgedEnds && worker.hasStartInFlight && remainingMs > 0 && this.#isNeeded) {
      await this.#sleep(remainingMs);
      remainingMs = giveUpAt - ctx.timers.mono();
    }
  }

  async #requestReport(): Promise<void> {
    const { ctx, worker } = this;
    await this.#awaitStartsInFlight();
    if (!this.#isNeeded) {
      return;
    }
    const { info } = worker;
    const requestedAt = ctx.timers.mono();
    const acknowledgement = ctx.scheduler.beginAcknowledgement(worker, requestedAt);
    const isPatient = worker.isUnresponsive || acknowledgement !== undefined;
    const res = await ctx.link.report({
      deadline: this.#nextLeaseDeadline(requestedAt),
      endsStored: acknowledgement?.number ?? 0,
      epoch: ctx.epoch,
      limitMs: isPatient ? PROBE_TIMEOUT_MS : REPORT_TIMEOUT_MS,
      maySend: () => ctx.canExtendLeases(),
      signal: this.signal,
      waitMs: this.#reportWaitMs(),
      worker: info,
    });
    if (this.signal.aborted) {
      return;
    }
    this.#settleAcknowledgement(res);
    if (res.isOk()) {
      ctx.scheduler.onReport(worker, res.value, requestedAt, ctx.timers.mono());
      this.#settleRefresh();
      // What the answer to an acknowledgement shows beside new ends can wait for the next tick.
      if (acknowledgement === undefined || res.value.ended.length > 0) {
        ctx.onChange();
      }
      await this.#pauseAfterReport();
      return;
    }
    if (worker.info.address === info.address || res.error.kind === LINK_FAILURE.fenced) {
      await this.#handleFailure(res.error);
    } else {
      // The worker has moved to another address since the call, which tells nothing about it.
      ctx.link.disconnect(info);
    }
  }

  #settleAcknowledgement(res: Result<WorkerReport, LinkError>): void {
    const { ctx, worker } = this;
    if (res.isOk()) {
      ctx.scheduler.onAcknowledgementAnswered(worker, res.value.bornAt);
    } else if (res.error.isUnsent === true) {
      ctx.scheduler.onAcknowledgementUnsent(worker);
    } else {
      ctx.scheduler.onAcknowledgementUnanswered(worker, res.error.kind, ctx.timers.mono());
    }
    settleAll(this.#onAcknowledged);
  }

  // After an unexpected error it is not known whether the request was carried out.
  #loseAcknowledgement(): void {
    if (!this.signal.aborted) {
      this.ctx.scheduler.onAcknowledgementUnanswered(this.worker, 'error', this.ctx.timers.mono());
    }
  }

  async #handleFailure({ kind, message }: LinkError): Promise<void> {
    const { ctx, worker } = this;
    if (kind === LINK_FAILURE.fenced) {
      ctx.onFenced(`worker ${worker.info.id} has accepted orders of a later term`);
      return;
    }
    if (kind === LINK_FAILURE.replaced) {
      ctx.scheduler.onWorkerReplaced(worker, ctx.timers.mono());
      ctx.onChange();
      return;
    }
    if (!worker.isUnresponsive) {
      ctx.log.warn({ error: message, kind, runs: worker.runs.size, worker: worker.info.id }, 'worker silent');
    }
    if (kind === LINK_FAILURE.disconnected) {
      ctx.scheduler.onWorkerDisconnected(worker, ctx.timers.mono());
    } else {
      ctx.scheduler.onWorkerUnresponsive(worker, ctx.timers.mono());
    }
    this.#settleRefresh();
    // Open connections may have gone silent while new ones work.
    ctx.link.disconnect(worker.info);
    await this.#sleep(RETRY_DELAY_MS);
  }

  // An unresponsive worker could still receive the extension without a usable answer. Its lease would then
  // keep other workers from running its tasks.
  #nextLeaseDeadline(now: number): number | undefined {
    const { worker } = this;
    return worker.runs.size > 0 && !worker.isUnresponsive
      ? worker.extendLease(now, this.ctx.leaseMs)
      : undefined;
  }

  // Reports repeat an end until it is acknowledged as stored, so the next report waits for that.
  async #pauseAfterReport(): Promise<void> {
    if (this.worker.endsStored < this.worker.endsRead) {
      await this.#sleep(MAX_STORE_WAIT_MS);
    } else if (this.#hasStoppingRun()) {
      await this.#sleep(POLL_INTERVAL_MS);
    } else if (this.worker.hasUnacknowledgedEnds) {
      // A crash by a task that has just started must be found soon after the start.
      const isStarting = isStartingTasks(this.worker, this.ctx.timers.mono());
      await this.#sleep(isStarting ? POLL_INTERVAL_MS : RETRY_DELAY_MS);
    }
  }

  #reportWaitMs(): number {
    const { worker } = this;
    const isAwaited = this.#onNextReport.length > 0;
    const needsReportNow = !worker.isFenced || worker.isUnresponsive || worker.runs.size === 0;
    // Ends that the worker lists already end its wait at once.
    const hasListedEnds = worker.hasUnacknowledgedEnds || worker.endsStored < worker.endsRead;
    if (isAwaited || needsReportNow || hasListedEnds || this.#hasStoppingRun()) {
      return 0;
    }
    const runs = [...worker.runs.values()];
    const isShared =
      runs.some((task) => task.step.spec.fillsIdle) && runs.some((task) => task.step.spec.tailTargetMs > 0);
    return isShared ? SHARED_REPORT_WAIT_MS : REPORT_WAIT_MS;
  }

  #hasStoppingRun(): boolean {
    const { finishedMembers, orphans, runs } = this.worker;
    return (
      orphans.size > 0 ||
      finishedMembers.size > 0 ||
      [...runs.values()].some((task) => task.phase === 'stopping' || task.phase === 'unconfirmed')
    );
  }

  // After `wakeUp` the timer still runs to its end, without effect.
  async #sleep(delayMs: number): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      this.#endPause = resolve;
    });
    await Promise.race([this.ctx.timers.sleep(delayMs, this.signal), woken]);
    this.#endPause = undefined;
  }
}

function settleAll(waiting: (() => void)[]): void {
  for (const settle of waiting.splice(0)) {
    settle();
  }
}
