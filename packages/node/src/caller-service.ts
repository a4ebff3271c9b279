import type { FleetConfig, Job, JobSpec, JobState, JobTable, QueueConfig } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import {
  ACCESS_CHECK,
  CallerAccess,
  checkAccess,
  estimateJobBytes,
  estimateSubmissionBytes,
  JOB_RECORD,
  JOB_STATE,
  toJobPolicy,
  WITHDRAWAL_KEPT_MS,
} from '@sequoiaquay/core/jobs';
import type { CallerAnswer, CallerRequest } from './caller-answer';
import type { JobWriter } from './job-writer';
import type { NodeMetrics } from './node-metrics';
import type { StreamTail } from './stream-tail';
import type { SubmissionBudget } from './submission-budget';
import { CALLER_ANSWER, REFUSAL_REASON } from './caller-answer';
import { WRITE_OUTCOME } from './job-writer';
import { RecentIds } from './recent-ids';
import { RefusalLog } from './refusal-log';
import { LARGE_JOB_BYTES } from './submission-budget';

/** What is known of a job. */
interface JobLookup {
  /** Whether all records that were stored before the request were read for it. */
  isCurrent: boolean;
  /** Undefined if no accepted job is known. */
  state: JobState | undefined;
}

/** Queue and job of a request that its sender may make. */
interface ResolvedRequest {
  /** Undefined if the path does not end with the id of a job. */
  id: string | undefined;
  queue: QueueConfig;
  rest: string;
  /** Workspace of the caller; undefined without a key. */
  workspace: string | undefined;
}

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/u;

/** Timeout of requests that do not state one, in ms. */
const DEFAULT_TIMEOUT_MS = 3000;

/** Longest time that a request takes, in ms, whatever timeout it states. */
const MAX_TIMEOUT_MS = 60_000;

/** Part of the caller's timeout that is reserved for sending the answer, in ms. */
const ANSWER_RESERVE_MS = 150;

/** Age of the job table above which a request doesn't wait for the newest records of an unknown id, in ms. */
const MAX_STATE_AGE_MS = 2500;

/** Age of the configuration above which a missing or unknown API key is not reported as unauthorized, in ms. */
const MAX_CONFIG_AGE_MS = 2500;

/** Length to which the host, the path and the workspace of a refused request are cut in a log line. */
const MAX_LOGGED_LENGTH = 128;

/** Time for which a record that another workspace's repeat replaced is tried to be stored again, in ms. */
const RESTORE_TIMEOUT_MS = 30_000;

/** Most ids of jobs with an unconfirmed write that are kept. */
const MAX_UNCONFIRMED_JOBS = 10_000;

/** Most ids of unknown jobs whose cancellation is kept. */
const MAX_WITHDRAWN_IDS = 10_000;

/** Delay after which callers may retry while the store is unavailable, in seconds; outages last some time. */
const STORE_RETRY_AFTER_S = 2;

/**
 * Most memory that the accepted jobs may take on a leader, in bytes. Several nodes may accept jobs before they read of
 * each other's, so that a part of the heap is left for these.
 */
const MAX_BACKLOG_BYTES = 32_000_000;

/** Part of that memory for all jobs once a large one comes, in bytes; ordinary ones find room in the rest. */
const MAX_BACKLOG_BYTES_FOR_LARGE = 0.8 * MAX_BACKLOG_BYTES;

/**
 * Delay after which callers may retry for want of memory, in seconds: jobs of a full backlog end slowly, a write takes a
 * second at most, and a withdrawal is kept for a minute.
 */
const FULL_RETRY_AFTER_S = {
  [REFUSAL_REASON.backlogFull]: 10,
  [REFUSAL_REASON.submissionsFull]: 1,
  [REFUSAL_REASON.withdrawalsFull]: 10,
} as const;

/** Delay after which an id of a job that was cancelled before its acceptance may be used again, in seconds. */
const WITHDRAWN_RETRY_AFTER_S = WITHDRAWAL_KEPT_MS / 1000 + 5;

/** Handles the requests of callers: submits and cancels jobs, and returns their state. */
export class CallerService {
  #access: CallerAccess | undefined;
  /** Ids of jobs whose submission may have been stored although no append was confirmed. */
  readonly #unconfirmedIds = new RecentIds(MAX_UNCONFIRMED_JOBS);
  readonly #refusalLog: RefusalLog;

  constructor(
    private readonly jobs: JobTable,
    private readonly tail: StreamTail,
    private readonly writer: JobWriter,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly metrics: NodeMetrics,
    private readonly submissions: SubmissionBudget,
    /** Age of what is known of the configuration, in ms. */
    private readonly cfgAgeMs: () => number,
  ) {
    this.#refusalLog = new RefusalLog(timers, log);
  }

  /** Configuration in force; undefined until the first is known. */
  get cfg(): FleetConfig | undefined {
    return this.#access?.cfg;
  }

  /** Puts a configuration in force, with its API keys. */
  set cfg(cfg: FleetConfig | undefined) {
    this.#access = cfg && new CallerAccess(cfg);
  }

  /**
   * Submits a job; the answer is `accepted` only once the job is stored. `decode` is called once it is known that the
   * caller may use the queue.
   */
  submit(req: CallerRequest, decode: () => Result<JobSpec, string>): Promise<CallerAnswer> {
    return this.#recordRequest('submit', this.#submit(req, decode));
  }

  async #submit(req: CallerRequest, decode: () => Result<JobSpec, string>): Promise<CallerAnswer> {
    const resolved = this.#resolvePath(req);
    if ('kind' in resolved) {
      return this.#logRefusal('submit', req, resolved);
    }
    const { id, queue, workspace } = resolved;
    if (id === undefined) {
      return {
        kind: CALLER_ANSWER.badRequest,
        problem: 'the path must end with a job id of 16 lowercase hexadecimal digits',
      };
    }
    const spec = decode();
    if (spec.isErr()) {
      return this.#logRefusal('submit', req, { kind: CALLER_ANSWER.badRequest, problem: spec.error });
    }
    if (this.jobs.stateOf(id) !== undefined) {
      return this.#mayUseJob(id, workspace)
        ? this.#logAnswer(id, { kind: CALLER_ANSWER.accepted })
        : this.#forbid('submit', req, workspace);
    }
    if (this.jobs.isWithdrawnFor(id, workspace)) {
      const reason = REFUSAL_REASON.cancelledBefore;
      const retryAfterS = WITHDRAWN_RETRY_AFTER_S;
      return this.#logRefusal('submit', req, { kind: CALLER_ANSWER.notRun, reason, retryAfterS });
    }
    if (!this.#hasBacklogRoom(estimateJobBytes(spec.value))) {
      return this.#logRefusal('submit', req, this.#fullAnswer(id, REFUSAL_REASON.backlogFull));
    }
    if (!this.writer.isLikelyToSucceed(this.tail.reachableSince !== undefined)) {
      return this.#logAnswer(id, this.#notStoredAnswer(id));
    }
    const bytes = estimateSubmissionBytes(spec.value);
    if (!this.submissions.take(bytes)) {
      return this.#logRefusal('submit', req, this.#fullAnswer(id, REFUSAL_REASON.submissionsFull));
    }
    const job = {
      acceptedAt: this.timers.now(),
      id,
      policy: toJobPolicy(queue),
      pool: queue.pool,
      queue: queue.name,
      spec: spec.value,
      workspace,
    };
    const outcome = await this.writer
      .write({ job, kind: JOB_RECORD.submit }, this.#writeDeadline(req))
      .finally(() => {
        this.submissions.release(bytes);
      });
    if (outcome === WRITE_OUTCOME.refused) {
      return this.#logAnswer(id, this.#notStoredAnswer(id));
    }
    if (outcome === WRITE_OUTCOME.rejected) {
      const problem = 'the job is larger than the store takes';
      return this.#logAnswer(id, { kind: CALLER_ANSWER.badRequest, problem });
    }
    if (outcome === WRITE_OUTCOME.unknown) {
      this.#unconfirmedIds.add(id);
    }
    const kept = outcome === WRITE_OUTCOME.stored ? this.jobs.get(id)?.job : undefined;
    if (kept !== undefined && kept.workspace !== workspace) {
      this.#restore(kept);
      if (!this.#mayUseJob(id, workspace)) {
        return this.#forbid('submit', req, workspace);
      }
    }
    return this.#logAnswer(id, this.#toWriteAnswer(outcome, CALLER_ANSWER.accepted));
  }

  /**
   * Cancels a job; the answer is `cancelled` only once the cancellation is stored or the job has ended. `gone` holds
   * also against a submission without an answer that is stored later: the job never runs.
   */
  cancel(req: CallerRequest): Promise<CallerAnswer> {
    return this.#recordRequest('cancel', this.#cancel(req));
  }

  async #cancel(req: CallerRequest): Promise<CallerAnswer> {
    const resolved = this.#resolvePath(req);
    if ('kind' in resolved) {
      return this.#logRefusal('cancel', req, resolved);
    }
    const { id, workspace } = resolved;
    if (id === undefined) {
      return { kind: CALLER_ANSWER.gone };
    }
    const deadline = this.#writeDeadline(req);
    const { isCurrent, state } = await this.#lookUp(id, req);
    if (state === undefined) {
      return isCurrent
        ? this.#withdraw(id, req, workspace, deadline)
        : this.#logAnswer(id, this.#notRunAnswer(REFUSAL_REASON.stateNotCurrent));
    }
    if (!this.#mayUseJob(id, workspace)) {
      return this.#forbid('cancel', req, workspace);
    }
    if (state !== JOB_STATE.queued && state !== JOB_STATE.running) {
      return this.#logAnswer(id, { kind: CALLER_ANSWER.cancelled });
    }
    const outcome = await this.writer.write({ id, kind: JOB_RECORD.cancel }, deadline);
    return this.#logAnswer(id, this.#toWriteAnswer(outcome, CALLER_ANSWER.cancelled));
  }

  // No record of the job was stored before the request. One whose append got no answer, at this node or another, may be
  // stored later, so that the cancellation is stored as well.
  async #withdraw(
    id: string,
    req: CallerRequest,
    workspace: string | undefined,
    deadline: number,
  ): Promise<CallerAnswer> {
    if (this.jobs.isUnknownWithdrawn(id)) {
      return this.#logAnswer(id, { kind: CALLER_ANSWER.gone });
    }
    if (this.jobs.withdrawnCount >= MAX_WITHDRAWN_IDS) {
      const reason = REFUSAL_REASON.withdrawalsFull;
      const retryAfterS = FULL_RETRY_AFTER_S[reason];
      return this.#logRefusal('cancel', req, { kind: CALLER_ANSWER.notRun, reason, retryAfterS });
    }
    const outcome = await this.writer.write({ id, kind: JOB_RECORD.withdraw, workspace }, deadline);
    return this.#logAnswer(id, this.#toWriteAnswer(outcome, CALLER_ANSWER.gone));
  }

  /** Returns the state of a job, or the number of waiting jobs if the path is that of a queue. */
  show(req: CallerRequest): Promise<CallerAnswer> {
    return this.#recordRequest('show', this.#show(req));
  }

  async #show(req: CallerRequest): Promise<CallerAnswer> {
    const resolved = this.#resolvePath(req);
    if ('kind' in resolved) {
      return this.#logRefusal('show', req, resolved);
    }
    const { id, queue, rest, workspace } = resolved;
    if (rest === '') {
      return { count: this.jobs.countQueued(queue.name), kind: CALLER_ANSWER.waiting };
    }
    if (id === undefined) {
      return { kind: CALLER_ANSWER.gone };
    }
    const { isCurrent, state } = await this.#lookUp(id, req);
    if (state !== undefined) {
      return this.#mayUseJob(id, workspace)
        ? { kind: CALLER_ANSWER.state, state }
        : this.#forbid('show', req, workspace);
    }
    const answer = this.#unknownJobAnswer(isCurrent);
    return answer.kind === CALLER_ANSWER.notRun ? this.#logRefusal('show', req, answer, workspace) : answer;
  }

  async #recordRequest(call: string, handled: Promise<CallerAnswer>): Promise<CallerAnswer> {
    const startedAt = this.timers.mono();
    const answer = await handled;
    this.metrics.recordRequest(call, answer.kind, this.timers.mono() - startedAt);
    if (answer.kind === CALLER_ANSWER.notRun) {
      this.metrics.recordNotRun(answer.reason);
    }
    return answer;
  }

  #resolvePath(req: CallerRequest): CallerAnswer | ResolvedRequest {
    const access = checkAccess(this.#access, req, this.cfgAgeMs() <= MAX_CONFIG_AGE_MS);
    switch (access.kind) {
      case ACCESS_CHECK.allowed: {
        const { queue, rest, workspace } = access;
        return { id: JOB_ID_PATTERN.test(rest) ? rest : undefined, queue, rest, workspace };
      }
      case ACCESS_CHECK.configurationNotCurrent:
        return this.#notRunAnswer(REFUSAL_REASON.configurationNotCurrent);
      case ACCESS_CHECK.noConfiguration:
        return this.#notRunAnswer(REFUSAL_REASON.noConfiguration);
      case ACCESS_CHECK.unauthorized:
        return { kind: CALLER_ANSWER.unauthorized };
      case ACCESS_CHECK.unknownQueue:
        return { kind: CALLER_ANSWER.unknownQueue };
    }
  }

  // The workspace of a job that has ended is not known any more, so its end is shown to anyone who may use a queue.
  #mayUseJob(id: string, workspace: string | undefined): boolean {
    const job = this.jobs.get(id)?.job;
    return job === undefined || this.#access?.mayUseJob(workspace, job) === true;
  }

  // A submission was stored for a job that another workspace had submitted before, and whose record was only read
  // meanwhile. Nodes that load the stream later see the newest record alone, so the first one is stored again.
  #restore(job: Job): void {
    this.log.info({ job: job.id, workspace: job.workspace?.slice(0, MAX_LOGGED_LENGTH) }, 'job restored');
    const deadline = this.timers.mono() + RESTORE_TIMEOUT_MS;
    void this.writer.writePersistently({ job, kind: JOB_RECORD.submit }, deadline).then((outcome) => {
      if (outcome !== WRITE_OUTCOME.stored) {
        this.log.error({ job: job.id, outcome }, 'job not restored');
      }
    });
  }

  #forbid(call: string, req: CallerRequest, workspace: string | undefined): CallerAnswer {
    return this.#logRefusal(call, req, { kind: CALLER_ANSWER.forbidden }, workspace);
  }

  // Another node may have just accepted a job that is unknown here, so the tail first catches up with the
  // stream, unless it is too far behind. While the tail loads for the first time, later records of a job may not
  // be read yet, so only an end is certain. While it loads again, what it knew before holds as long as it is
  // current.
  async #lookUp(id: string, req: CallerRequest): Promise<JobLookup> {
    const known = this.jobs.stateOf(id);
    const isRecent = this.tail.ageMs() <= MAX_STATE_AGE_MS;
    if (!this.tail.isLoaded && !isRecent) {
      const isEnd = known === JOB_STATE.completed || known === JOB_STATE.failed;
      return { isCurrent: false, state: isEnd ? known : undefined };
    }
    if (known !== undefined || !isRecent) {
      return { isCurrent: false, state: known };
    }
    const timeout = new AbortController();
    const answered = new AbortController();
    this.timers.after(
      this.#remainingMs(req),
      () => {
        timeout.abort();
      },
      answered.signal,
    );
    const isCurrent = await this.tail.catchUp(timeout.signal);
    answered.abort();
    return { isCurrent, state: this.jobs.stateOf(id) };
  }

  // The answer that there is no such job takes a read of the store that began after the request. No age of the job table
  // proves that no other node has accepted the job since.
  #unknownJobAnswer(isCurrent: boolean): CallerAnswer {
    return isCurrent ? { kind: CALLER_ANSWER.gone } : this.#notRunAnswer(REFUSAL_REASON.stateNotCurrent);
  }

  #toWriteAnswer(outcome: string, stored: 'accepted' | 'cancelled' | 'gone'): CallerAnswer {
    if (outcome === WRITE_OUTCOME.stored) {
      return { kind: stored };
    }
    return outcome === WRITE_OUTCOME.unknown
      ? { kind: CALLER_ANSWER.unsure }
      : this.#storeUnavailableAnswer();
  }

  // After an append without an answer the job may still run, whatever the outcome of later requests for it.
  #notStoredAnswer(id: string): CallerAnswer {
    return this.#unconfirmedIds.has(id) ? { kind: CALLER_ANSWER.unsure } : this.#storeUnavailableAnswer();
  }

  #fullAnswer(id: string, reason: 'backlog-full' | 'submissions-full'): CallerAnswer {
    return this.#unconfirmedIds.has(id)
      ? { kind: CALLER_ANSWER.unsure }
      : { kind: CALLER_ANSWER.notRun, reason, retryAfterS: FULL_RETRY_AFTER_S[reason] };
  }

  #hasBacklogRoom(bytes: number): boolean {
    const maxBytes = bytes > LARGE_JOB_BYTES ? MAX_BACKLOG_BYTES_FOR_LARGE : MAX_BACKLOG_BYTES;
    return this.jobs.activeBytes + bytes <= maxBytes;
  }

  #storeUnavailableAnswer(): CallerAnswer {
    return this.#notRunAnswer(REFUSAL_REASON.storeUnavailable);
  }

  #notRunAnswer(reason: string): CallerAnswer {
    return { kind: CALLER_ANSWER.notRun, reason, retryAfterS: STORE_RETRY_AFTER_S };
  }

  #remainingMs(req: CallerRequest): number {
    const timeoutMs = Math.min(req.timeoutMs ?? DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS);
    return Math.max(ANSWER_RESERVE_MS, timeoutMs - ANSWER_RESERVE_MS);
  }

  #writeDeadline(req: CallerRequest): number {
    return this.timers.mono() + this.#remainingMs(req);
  }

  // Refused before a job was looked up, or without changing one.
  #logRefusal(call: string, req: CallerRequest, answer: CallerAnswer, workspace?: string): CallerAnswer {
    const { host, path } = req;
    const job = path.slice(path.lastIndexOf('/') + 1);
    this.#refusalLog.write({
      answer,
      call,
      cfgAgeMs: Math.round(this.cfgAgeMs()),
      cfgVersion: this.cfg?.version,
      host: host.slice(0, MAX_LOGGED_LENGTH),
      job: JOB_ID_PATTERN.test(job) ? job : undefined,
      path: path.slice(0, MAX_LOGGED_LENGTH),
      stateAgeMs: Math.round(this.tail.ageMs()),
      workspace: workspace?.slice(0, MAX_LOGGED_LENGTH),
    });
    return answer;
  }

  #logAnswer(id: string, answer: CallerAnswer): CallerAnswer {
    const stateAgeMs = Math.round(this.tail.ageMs());
    const cfgVersion = this.cfg?.version;
    this.log.info({ answer, cfgVersion, job: id, stateAgeMs }, 'request answered');
    return answer;
  }
}
