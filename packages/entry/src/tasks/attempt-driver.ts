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

/** Dependencies that all attempt drivers of an entry share. */
export interface AttemptDependencies {
  entry: string;
  log: TaskLog;
  replica: FleetReplica;
  settings: TaskSettings;
  signal: AbortSignal;
  timers: TimerService;
  workers: WorkerService;
}

/** Call to make to the worker. */
type WorkerCall = 'checkpoint' | 'renew' | 'start';

/** Longest failure reason written to the log, in characters. */
const MAX_REASON_CHARS = 500;

/**
 * Drives one attempt of a task on its worker: starts it, renews its lease, and appends the worker's reports to
 * the log. Two entries may drive the same attempt for a while, so all calls and records are idempotent.
 */
export class AttemptDriver {
  #isCalling = false;
  #canCheckpoint = true;
  #nextPollAt = 0;
  #renewedAt = Number.NEGATIVE_INFINITY;
  readonly #ref: AttemptRef;
  #isStartSent: boolean;

  constructor(
    private readonly deps: AttemptDependencies,
    private readonly task: Task,
    /** Whether this process proposed the lease; only that process starts the attempt. */
    isOwnLease: boolean,
  ) {
    const worker = task.lease?.worker ?? '';
    const address = deps.replica.state.vms.get(worker)?.address ?? '';
    this.#ref = { address, attempt: task.attempt, task: task.id };
    this.#isStartSent = !isOwnLease;
  }

  /**
   * Makes the next call to the worker when it is due.
   * With `mustLeave`, a repeatable attempt is asked to checkpoint and stop.
   */
  step(mustLeave: boolean): void {
    const isCheckpointDue = mustLeave && this.#canCheckpoint && this.task.repeatable && this.#isStartSent;
    if (this.#isCalling || (!isCheckpointDue && this.deps.timers.mono() < this.#nextPollAt)) {
      return;
    }
    this.#isCalling = true;
    this.#nextPollAt = this.deps.timers.mono() + this.deps.settings.pollMs;
    void this.#callWorker(this.#isStartSent ? (isCheckpointDue ? 'checkpoint' : 'renew') : 'start').finally(
      () => {
        this.#isCalling = false;
      },
    );
  }

  /** Stops the attempt on its worker; retries for the length of a lease, after which the lease has lapsed. */
  async stop(): Promise<void> {
    const giveUpAt = this.deps.timers.mono() + this.deps.settings.leaseMs;
    while (this.deps.timers.mono() < giveUpAt && !this.deps.signal.aborted) {
      const stopped = await this.deps.workers.stop(this.#ref, this.deps.signal);
      if (stopped.isOk()) {
        return;
      }
      await this.deps.timers.sleep(this.deps.settings.pollMs, this.deps.signal);
    }
  }

  async #callWorker(call: WorkerCall): Promise<void> {
    const report = await this.#send(call);
    if (!this.#isCurrent()) {
      return;
    }
    if (report.isOk()) {
      this.#handleReport(report.value);
      return;
    }
    await this.#handleError(call, report.error);
  }

  #send(call: WorkerCall): ReturnType<WorkerService['renew']> {
    const { settings, signal, workers } = this.deps;
    if (call === 'checkpoint') {
      return workers.checkpoint(this.#ref, signal);
    }
    // After a pause past its lease, the process doesn't start the attempt: the renewal returns its state.
    if (call === 'renew' || this.#isLeaseExpired(0)) {
      this.#isStartSent = true;
      return workers.renew(this.#ref, settings.leaseMs, signal);
    }
    this.#isStartSent = true;
    const { body, checkpoint, contentType, job, lease, urgent } = this.task;
    const demand = lease?.demand ?? this.task.demand;
    const spec = { body, checkpoint, contentType, demand, job, leaseMs: settings.leaseMs, urgent };
    return workers.start(this.#ref, spec, signal);
  }

  #handleReport(report: AttemptReport): void {
    switch (report.state) {
      case 'checkpointed':
        this.#appendFailure('moved', report.reason ?? 'checkpointed', report);
        return;
      case 'done':
        this.#appendResult(report);
        return;
      case 'failed':
        this.#appendFailure('job', report.reason ?? 'failed', report);
        return;
      case 'running':
        this.#appendRenewal(report);
        return;
      case 'stopped':
        this.#appendFailure('stopped', report.reason ?? 'stopped', report);
        return;
    }
  }

  async #handleError(call: WorkerCall, error: PlatformError): Promise<void> {
    const status = error.status.unwrapOr(0);
    if (call === 'checkpoint' && status === 409) {
      this.#canCheckpoint = false;
    } else if (call === 'start' && status === 429) {
      this.#appendFailure('no-room', error.message);
    } else if (status === 404 || status === 409) {
      await this.#stopUnknownAttempt(error.message);
    } else if (this.#isLeaseExpired(this.task.lease?.skewMs ?? 0)) {
      this.#appendFailure('lapsed', `the lease lapsed and the worker gave no answer: ${error.message}`);
    }
  }

  // The worker's report that an attempt never started covers only the time since the worker's own start. It
  // counts only when the worker started before the lease did, with an allowance for clock skew.
  async #stopUnknownAttempt(reason: string): Promise<void> {
    const stopped = await this.deps.workers.stop(this.#ref, this.deps.signal);
    const lease = this.task.lease;
    if (stopped.isErr() || !this.#isCurrent() || lease === undefined) {
      return;
    }
    const leasedForMs = this.deps.timers.now() - lease.leasedAt;
    const isCovered = stopped.value.upMs > leasedForMs + lease.skewMs;
    this.#appendFailure(stopped.value.started || !isCovered ? 'stopped' : 'not-started', reason);
  }

  #appendRenewal(report: AttemptReport): void {
    const { log, settings, timers } = this.deps;
    const now = timers.mono();
    if (now - this.#renewedAt < settings.renewMs) {
      return;
    }
    // The lease record counts as the first renewal.
    const isFirst = this.#renewedAt === Number.NEGATIVE_INFINITY;
    this.#renewedAt = now;
    if (isFirst && this.task.lease?.entry === this.deps.entry) {
      return;
    }
    const { checkpoint, progress, usage } = report;
    log.append(
      {
        attempt: this.#ref.attempt,
        checkpoint,
        entry: this.deps.entry,
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

  // The worker keeps its result, so a record that was not appended is written again at a later poll.
  #appendResult(report: AttemptReport): void {
    const answer = report.answer ?? { body: '', contentType: 'application/octet-stream' };
    this.deps.log.append(
      { ...answer, attempt: this.#ref.attempt, kind: 'task-done', task: this.#ref.task },
      this.#deferNextPoll(),
    );
  }

  #appendFailure(cause: TaskCause, reason: string, report?: AttemptReport): void {
    this.deps.log.append(
      {
        attempt: this.#ref.attempt,
        cause,
        checkpoint: report?.checkpoint,
        kind: 'task-failed',
        progress: report?.progress,
        reason: reason.slice(0, MAX_REASON_CHARS),
        task: this.#ref.task,
      },
      this.#deferNextPoll(),
    );
  }

  // Defers the next poll and returns the time until it, in ms: the append of a record that ends the attempt is
  // retried until the next poll appends the record again.
  #deferNextPoll(): number {
    this.#nextPollAt = this.deps.timers.mono() + this.deps.settings.renewMs;
    return this.deps.settings.renewMs;
  }

  #isCurrent(): boolean {
    return this.task.attempt === this.#ref.attempt && this.task.state === 'running';
  }

  #isLeaseExpired(allowanceMs: number): boolean {
    const until = this.task.lease?.until ?? 0;
    return this.deps.timers.now() > until + allowanceMs;
  }
}
