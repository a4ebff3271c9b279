import type { Task, TaskApplyResult } from '@sequoiaquay/core';
import type { AppendHandle, FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { MAX_TASK_BODY_CHARS, resourcesSchema } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { CallerRefusal, CallerRefusalReason } from '../refusal';
import type { RequestPlan } from '../request-plan';
import type { WorkReplica } from '../work-replica';
import type { TaskLog } from './task-log';
import type { TaskSettings } from './task-settings';

/** Time for which the append of a cancellation is retried, in ms. */
const CANCEL_APPEND_TIMEOUT_MS = 600_000;

/** Longest time that a caller waits for the result of its cancellation, in ms. */
const CANCEL_WAIT_MS = 5000;

/** Longest wait for an append that is still in flight when the deadline passes, in ms. */
const LAST_APPEND_WAIT_MS = 500;

/** Polling interval of this wait, in ms. */
const LAST_APPEND_POLL_MS = 20;

/** Accepts requests as tasks, and cancels tasks. */
export class TaskService {
  readonly #resultListeners = new Map<string, (result: TaskApplyResult) => void>();

  constructor(
    private readonly log: TaskLog,
    private readonly work: WorkReplica,
    private readonly replica: FleetReplica,
    private readonly settings: TaskSettings,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
  ) {
    work.onTask((record, result) => this.#resultListeners.get(record.id)?.(result), signal);
  }

  /** Accepts a request as a task; on success the task is in the log and this entry has applied its record. */
  async accept(plan: RequestPlan): Promise<Result<Task, CallerRefusal>> {
    const existing = plan.key === undefined ? undefined : this.work.tasks.findByKey(plan.team, plan.key);
    if (existing !== undefined && isSameRequest(existing, plan)) {
      return ok(existing);
    }
    const refusal = this.#checkAdmission(plan);
    return refusal === undefined ? this.#propose(plan) : err(refusal);
  }

  /** Cancels a task in any state before its end; a task that has ended stays unchanged. */
  async cancel(id: string): Promise<Result<Task, CallerRefusal>> {
    const task = this.work.tasks.find(id);
    if (task === undefined) {
      return refuse('unknown-task', `there is no task ${id}, or it is forgotten`, 'not-run');
    }
    if (task.endedAt !== undefined) {
      return ok(task);
    }
    const handle = this.log.append({ kind: 'task-cancel', task: id }, CANCEL_APPEND_TIMEOUT_MS);
    const result = await this.#waitForResult(handle.id, AbortSignal.timeout(CANCEL_WAIT_MS));
    return result === undefined
      ? refuse('task-unconfirmed', 'the log has not confirmed the cancellation yet', 'unknown')
      : ok(task);
  }

  /** Returns a task, or undefined when it does not exist or was removed after its end. */
  find(id: string): Task | undefined {
    return this.work.tasks.find(id);
  }

  async #propose(plan: RequestPlan): Promise<Result<Task, CallerRefusal>> {
    const handle = this.log.append(this.#toRecord(plan), plan.timeoutMs);
    const result = await this.#waitForResult(handle.id, AbortSignal.timeout(plan.timeoutMs));
    if (result === undefined) {
      await this.#waitForAppend(handle);
      return this.#refuseUnconfirmed(handle);
    }
    return result.orElse((reason) =>
      reason === 'key-mismatch'
        ? refuse('key-mismatch', 'the key was used before with another body', 'not-run')
        : refuse('task-unavailable', `the task was not taken: ${reason}`, 'not-run'),
    );
  }

  // The record is not sent again after the deadline, but an append in flight may still turn out to be refused.
  async #waitForAppend(handle: AppendHandle): Promise<void> {
    const giveUpAt = this.timers.mono() + LAST_APPEND_WAIT_MS;
    while (handle.mayBeStored() && this.timers.mono() < giveUpAt && !this.signal.aborted) {
      await this.timers.sleep(LAST_APPEND_POLL_MS, this.signal);
    }
  }

  // A task whose record may have reached the log is cancelled, but other entries may already have started it.
  #refuseUnconfirmed(handle: AppendHandle & { id: string }): Result<Task, CallerRefusal> {
    if (!handle.mayBeStored()) {
      return refuse('task-unavailable', 'the log took no record in time', 'not-run');
    }
    this.log.append({ kind: 'task-cancel', task: handle.id }, CANCEL_APPEND_TIMEOUT_MS);
    const detail = `the log did not confirm task ${handle.id} in time; it is cancelled if it exists`;
    return refuse('task-unconfirmed', detail, 'unknown');
  }

  #checkAdmission(plan: RequestPlan): CallerRefusal | undefined {
    const text = plan.body.toString('utf8');
    if (text.length > MAX_TASK_BODY_CHARS || !Buffer.from(text).equals(plan.body)) {
      return toRefusal(
        'bad-request',
        `the body of a task must be UTF-8 of at most ${MAX_TASK_BODY_CHARS} characters`,
      );
    }
    const live = this.work.tasks.liveTasks();
    const quota = this.replica.state.branches.get(plan.team)?.value.quota?.queued;
    const queued = live.filter((task) => task.scope === plan.team && task.state === 'pending').length;
    if (live.length >= this.settings.maxLive || (quota !== undefined && queued >= quota)) {
      return toRefusal('queue-full', 'too many tasks wait', 'not-run', 5);
    }
    return undefined;
  }

  #toRecord(plan: RequestPlan): Parameters<TaskLog['append']>[0] {
    return {
      body: plan.body.toString('utf8'),
      contentType: plan.contentType.slice(0, 200),
      demand: plan.jobSettings.task ?? resourcesSchema.parse({}),
      digest: plan.digest,
      job: plan.job,
      key: plan.key,
      kind: 'task',
      maxAttempts: this.settings.maxAttempts,
      pool: plan.pool,
      repeatable: plan.repeatable,
      scope: plan.team,
      urgent: plan.jobSettings.urgent,
    };
  }

  #waitForResult(recordId: string, signal: AbortSignal): Promise<TaskApplyResult | undefined> {
    return new Promise((resolve) => {
      const finish = (result: TaskApplyResult | undefined): void => {
        this.#resultListeners.delete(recordId);
        resolve(result);
      };
      this.#resultListeners.set(recordId, finish);
      signal.addEventListener(
        'abort',
        () => {
          finish(undefined);
        },
        { once: true },
      );
    });
  }
}

function isSameRequest(task: Task, plan: RequestPlan): boolean {
  return task.digest === plan.digest && task.pool === plan.pool && task.job === plan.job;
}

function toRefusal(
  reason: CallerRefusalReason,
  detail: string,
  outcome: CallerRefusal['outcome'] = 'not-run',
  retryAfterS?: number,
): CallerRefusal {
  return { detail, outcome, reason, retryAfterS: Maybe.of(retryAfterS) };
}

function refuse(
  reason: CallerRefusalReason,
  detail: string,
  outcome: CallerRefusal['outcome'],
): Result<never, CallerRefusal> {
  return err(toRefusal(reason, detail, outcome, reason === 'task-unavailable' ? 1 : undefined));
}
