import type { Task, TaskCause } from '@sequoiaquay/core';
import type {
  AttemptRef,
  AttemptReport,
  FleetReplica,
  PlatformError,
  WorkerService,
} from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { TaskLog } from './task-log';
import type { TaskSettings } from './task-settings';

/** Parts that the drivers of attempts share. */
export interface AttemptParts {
  entry: string;
  log: TaskLog;
  replica: FleetReplica;
  settings: TaskSettings;
  signal: AbortSignal;
  timers: TimerService;
  workers: WorkerService;
}

/** What the worker is to be asked next. */
type Call = 'checkpoint' | 'renew' | 'start';

const REASON_LENGTH = 500;

/**
 * Drives one attempt of a task on its worker: starts it, renews its lease, and writes what the worker reports
 * to the log. Two entries may drive the same attempt for a while: all calls and records can be repeated.
 */
export class AttemptDriver {
  #busy = false;
  #canCheckpoint = true;
  #nextPollAt = 0;
  #renewedAt = Number.NEGATIVE_INFINITY;
  readonly #ref: AttemptRef;
  #startSent: boolean;

  constructor(
    private readonly parts: AttemptParts,
    private readonly task: Task,
    /** Whether this process proposed the lease and so is the one to start the attempt. */
    isOwnLease: boolean,
  ) {
    const worker = task.lease?.worker ?? '';
    const address = parts.replica.state.vms.get(worker)?.address ?? '';
    this.#ref = { address, attempt: task.attempt, task: task.id };
    this.#startSent = !isOwnLease;
  }

  /** Takes the next step when it is due; `leave` asks the worker to checkpoint and stop repeatable work. */
  step(leave: boolean): void {
    const checkpoint = leave && this.#canCheckpoint && this.task.repeatable && this.#startSent;
    if (this.#busy || (!checkpoint && this.parts.timers.mono() < this.#nextPollAt)) {
      return;
    }
    this.#busy = true;
    this.#nextPollAt = this.parts.timers.mono() + this.parts.settings.pollMs;
    void this.#call(this.#startSent ? (checkpoint ? 'checkpoint' : 'renew') : 'start').finally(() => {
      this.#busy = false;
    });
  }

  /** Stops the attempt on its worker; tries until the worker's lease must have lapsed. */
  async stop(): Promise<void> {
    const until = this.parts.timers.mono() + this.parts.settings.leaseMs;
    while (this.parts.timers.mono() < until && !this.parts.signal.aborted) {
      const stopped = await this.parts.workers.stop(this.#ref, this.parts.signal);
      if (stopped.isOk()) {
        return;
      }
      await this.parts.timers.sleep(this.parts.settings.pollMs, this.parts.signal);
    }
  }

  async #call(call: Call): Promise<void> {
    const report = await this.#ask(call);
    if (!this.#isCurrent()) {
      return;
    }
    if (report.isOk()) {
      this.#onReport(report.value);
      return;
    }
    await this.#onError(call, report.error);
  }

  #ask(call: Call): ReturnType<WorkerService['renew']> {
    const { settings, signal, workers } = this.parts;
    if (call === 'checkpoint') {
      return workers.checkpoint(this.#ref, signal);
    }
    // A process that was paused past its lease doesn't start the attempt: it asks what became of it.
    if (call === 'renew' || this.#isPastLease(0)) {
      this.#startSent = true;
      return workers.renew(this.#ref, settings.leaseMs, signal);
    }
    this.#startSent = true;
    const { body, checkpoint, contentType, job, lease, urgent } = this.task;
    const demand = lease?.demand ?? this.task.demand;
    const spec = { body, checkpoint, contentType, demand, job, leaseMs: settings.leaseMs, urgent };
    return workers.start(this.#ref, spec, signal);
  }

  #onReport(report: AttemptReport): void {
    switch (report.state) {
      case 'checkpointed':
        this.#end('moved', report.reason ?? 'checkpointed', report);
        return;
      case 'done':
        this.#finish(report);
        return;
      case 'failed':
        this.#end('job', report.reason ?? 'failed', report);
        return;
      case 'running':
        this.#renew(report);
        return;
      case 'stopped':
        this.#end('stopped', report.reason ?? 'stopped', report);
        return;
    }
  }

  async #onError(call: Call, error: PlatformError): Promise<void> {
    const status = error.status.unwrapOr(0);
    if (call === 'checkpoint' && status === 409) {
      this.#canCheckpoint = false;
    } else if (call === 'start' && status === 429) {
      this.#end('no-room', error.message);
    } else if (status === 404 || status === 409) {
      await this.#confirmNotStarted(error.message);
    } else if (this.#isPastLease(this.task.lease?.skewMs ?? 0)) {
      this.#end('lapsed', `the lease lapsed and the worker gave no answer: ${error.message}`);
    }
  }

  // The worker's word that an attempt never started covers only the time since the worker itself started.
  async #confirmNotStarted(reason: string): Promise<void> {
    const stopped = await this.parts.workers.stop(this.#ref, this.parts.signal);
    const lease = this.task.lease;
    if (stopped.isErr() || !this.#isCurrent() || lease === undefined) {
      return;
    }
    const leasedForMs = this.parts.timers.now() - lease.leasedAt;
    const covered = stopped.value.upMs > leasedForMs + lease.skewMs;
    this.#end(stopped.value.started || !covered ? 'stopped' : 'not-started', reason);
  }

  #renew(report: AttemptReport): void {
    const { log, settings, timers } = this.parts;
    const now = timers.mono();
    if (now - this.#renewedAt < settings.renewMs) {
      return;
    }
    // The lease record itself counts as the first renewal.
    const isFirst = this.#renewedAt === Number.NEGATIVE_INFINITY;
    this.#renewedAt = now;
    if (isFirst && this.task.lease?.entry === this.parts.entry) {
      return;
    }
    const { checkpoint, progress, usage } = report;
    log.append(
      {
        attempt: this.#ref.attempt,
        checkpoint,
        entry: this.parts.entry,
        kind: 'task-renew',
        progress,
        task: this.#ref.task,
        until: timers.now() + settings.leaseMs,
        usage: usage && {
          accelerators: usage.accelerators,
          memoryMb: usage.memoryMb,
          processors: usage.processors,
        },
      },
      settings.renewMs,
    );
  }

  // The worker keeps its result, so a record that the log didn't take is written again at a later poll.
  #finish(report: AttemptReport): void {
    const answer = report.answer ?? { body: '', contentType: 'application/octet-stream' };
    this.parts.log.append(
      { ...answer, attempt: this.#ref.attempt, kind: 'task-done', task: this.#ref.task },
      this.#offerMs(),
    );
  }

  #end(cause: TaskCause, reason: string, report?: AttemptReport): void {
    this.parts.log.append(
      {
        attempt: this.#ref.attempt,
        cause,
        checkpoint: report?.checkpoint,
        kind: 'task-failed',
        progress: report?.progress,
        reason: reason.slice(0, REASON_LENGTH),
        task: this.#ref.task,
      },
      this.#offerMs(),
    );
  }

  // A record that ends the attempt is offered until the next poll offers it again.
  #offerMs(): number {
    this.#nextPollAt = this.parts.timers.mono() + this.parts.settings.renewMs;
    return this.parts.settings.renewMs;
  }

  #isCurrent(): boolean {
    return this.task.attempt === this.#ref.attempt && this.task.state === 'running';
  }

  #isPastLease(allowanceMs: number): boolean {
    const until = this.task.lease?.until ?? 0;
    return this.parts.timers.now() > until + allowanceMs;
  }
}
