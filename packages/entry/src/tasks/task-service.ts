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

/** Time for which a cancellation is offered to the log, in ms. */
const CANCEL_OFFER_MS = 600_000;

/** Longest wait of a cancelling caller for the log, in ms. */
const CANCEL_WAIT_MS = 5000;

/** Longest wait for the answer of an append that is in flight when the deadline passes, in ms. */
const LAST_ANSWER_MS = 500;
const LAST_ANSWER_STEP_MS = 20;

/** Accepts tasks into the log, and cancels them. */
export class TaskService {
  readonly #waiting = new Map<string, (verdict: TaskApplyResult) => void>();

  constructor(
    private readonly log: TaskLog,
    private readonly work: WorkReplica,
    private readonly replica: FleetReplica,
    private readonly settings: TaskSettings,
    private readonly timers: TimerService,
    private readonly signal: AbortSignal,
  ) {
    work.onTask((record, verdict) => this.#waiting.get(record.id)?.(verdict), signal);
  }

  /** Accepts a request as a task: the task is in the log and folded when this succeeds. */
  async accept(plan: RequestPlan): Promise<Result<Task, CallerRefusal>> {
    const known = plan.key === undefined ? undefined : this.work.tasks.findByKey(plan.team, plan.key);
    if (known !== undefined && isSame(known, plan)) {
      return ok(known);
    }
    const refusal = this.#reasonToRefuse(plan);
    return refusal === undefined ? this.#propose(plan) : err(refusal);
  }

  /** Ends a task at any point; a task that has ended stays as it is. */
  async cancel(id: string): Promise<Result<Task, CallerRefusal>> {
    const task = this.work.tasks.find(id);
    if (task === undefined) {
      return refuse('unknown-task', `there is no task ${id}, or it is forgotten`, 'not-run');
    }
    if (task.endedAt !== undefined) {
      return ok(task);
    }
    const sent = this.log.append({ kind: 'task-cancel', task: id }, CANCEL_OFFER_MS);
    const verdict = await this.#verdictOf(sent.id, AbortSignal.timeout(CANCEL_WAIT_MS));
    return verdict === undefined
      ? refuse('task-unconfirmed', 'the log has not confirmed the cancellation yet', 'unknown')
      : ok(task);
  }

  /** State of a task, or undefined when there is none or it is forgotten. */
  find(id: string): Task | undefined {
    return this.work.tasks.find(id);
  }

  async #propose(plan: RequestPlan): Promise<Result<Task, CallerRefusal>> {
    const sent = this.log.append(this.#toRecord(plan), plan.deadlineMs);
    const verdict = await this.#verdictOf(sent.id, AbortSignal.timeout(plan.deadlineMs));
    if (verdict === undefined) {
      await this.#lastAnswer(sent);
      return this.#unconfirmed(sent);
    }
    return verdict.orElse((reason) =>
      reason === 'key-mismatch'
        ? refuse('key-mismatch', 'the key was used before with another body', 'not-run')
        : refuse('task-unavailable', `the task was not taken: ${reason}`, 'not-run'),
    );
  }

  // The record is not sent again after the deadline, but an append of it may still be refused.
  async #lastAnswer(sent: AppendHandle): Promise<void> {
    const until = this.timers.mono() + LAST_ANSWER_MS;
    while (sent.mayBeStored() && this.timers.mono() < until && !this.signal.aborted) {
      await this.timers.sleep(LAST_ANSWER_STEP_MS, this.signal);
    }
  }

  // An append that may have reached the log is taken back, but others may have started the task meanwhile.
  #unconfirmed(sent: AppendHandle & { id: string }): Result<Task, CallerRefusal> {
    if (!sent.mayBeStored()) {
      return refuse('task-unavailable', 'the log took no record in time', 'not-run');
    }
    this.log.append({ kind: 'task-cancel', task: sent.id }, CANCEL_OFFER_MS);
    const detail = `the log did not confirm task ${sent.id} in time; it is cancelled if it exists`;
    return refuse('task-unconfirmed', detail, 'unknown');
  }

  #reasonToRefuse(plan: RequestPlan): CallerRefusal | undefined {
    const text = plan.body.toString('utf8');
    if (text.length > MAX_TASK_BODY_CHARS || !Buffer.from(text).equals(plan.body)) {
      return refusal(
        'bad-request',
        `the body of a task must be UTF-8 of at most ${MAX_TASK_BODY_CHARS} characters`,
      );
    }
    const live = this.work.tasks.liveTasks();
    const quota = this.replica.state.branches.get(plan.team)?.value.quota?.queued;
    const queued = live.filter((task) => task.scope === plan.team && task.state === 'pending').length;
    if (live.length >= this.settings.maxLive || (quota !== undefined && queued >= quota)) {
      return refusal('queue-full', 'too many tasks wait', 'not-run', 5);
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

  #verdictOf(recordId: string, signal: AbortSignal): Promise<TaskApplyResult | undefined> {
    return new Promise((resolve) => {
      const finish = (verdict: TaskApplyResult | undefined): void => {
        this.#waiting.delete(recordId);
        resolve(verdict);
      };
      this.#waiting.set(recordId, finish);
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

function isSame(task: Task, plan: RequestPlan): boolean {
  return task.digest === plan.digest && task.pool === plan.pool && task.job === plan.job;
}

function refusal(
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
  return err(refusal(reason, detail, outcome, reason === 'task-unavailable' ? 1 : undefined));
}
