import type { FleetConfig, JobSpec, JobState, JobTable } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { findQueue, JOB_RECORD, JOB_STATE } from '@sequoiaquay/core/jobs';
import type { JobWriter } from './job-writer';
import type { NodeMetrics } from './node-metrics';
import type { StreamTail } from './stream-tail';
import { WRITE_OUTCOME } from './job-writer';
import { RecentIds } from './recent-ids';

/** Kinds of answer to a caller. */
export const CALLER_ANSWER = {
  accepted: 'accepted',
  badRequest: 'bad-request',
  cancelled: 'cancelled',
  gone: 'gone',
  /** The request was not and will not be carried out. */
  notRun: 'not-run',
  state: 'state',
  unknownQueue: 'unknown-queue',
  /** Whether the request is carried out is not known. */
  unsure: 'unsure',
  waiting: 'waiting',
} as const;

/** Answer to a caller. */
export type CallerAnswer =
  | { kind: 'accepted' | 'cancelled' | 'gone' | 'unknown-queue' | 'unsure' }
  | { kind: 'bad-request'; problem: string }
  | { kind: 'not-run'; reason: string; retryAfterS: number }
  | { kind: 'state'; state: JobState }
  | { count: number; kind: 'waiting' };

/** A caller's request for a path of a queue. */
export interface CallerRequest {
  /** Time that the caller waits for the answer, in ms; undefined when it does not say. */
  deadlineMs: number | undefined;
  host: string;
  path: string;
}

/** Reasons of refusals that callers see. */
export const REFUSAL = {
  noConfiguration: 'no-configuration',
  stateNotCurrent: 'state-not-current',
  storeUnavailable: 'store-unavailable',
} as const;

const JOB_ID = /^[0-9a-f]{16}$/u;

/** Time for which a write is tried when the caller names no deadline, in ms. */
const DEFAULT_DEADLINE_MS = 3000;

/** Part of the caller's time that is kept for the answer, in ms. */
const ANSWER_RESERVE_MS = 150;

/** Age of the jobs' state above which an unknown id is not reported as gone, in ms. */
const MAX_STATE_AGE_MS = 2500;

/** Most jobs of unknown outcome that are remembered. */
const MAX_UNSURE = 10_000;

/** Time after which callers should come back when the store is unavailable, in seconds: outages take some. */
const STORE_RETRY_S = 2;

/** Serves callers: accepts, cancels and shows jobs. */
export class CallerService {
  cfg: FleetConfig | undefined;
  /** Jobs that may have been stored without this node knowing it. */
  readonly #unsure = new RecentIds(MAX_UNSURE);

  constructor(
    private readonly jobs: JobTable,
    private readonly tail: StreamTail,
    private readonly writer: JobWriter,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly metrics: NodeMetrics,
    private readonly signal: AbortSignal,
  ) {}

  /** Accepts a job once it is stored. */
  submit(req: CallerRequest, spec: Result<JobSpec, string>): Promise<CallerAnswer> {
    return this.#measure('submit', this.#submit(req, spec));
  }

  async #submit(req: CallerRequest, spec: Result<JobSpec, string>): Promise<CallerAnswer> {
    const place = this.#place(req);
    if ('kind' in place) {
      return place;
    }
    const { id, queue } = place;
    if (id === undefined) {
      return { kind: CALLER_ANSWER.badRequest, problem: 'the path names no job' };
    }
    if (spec.isErr()) {
      return this.#answer(id, { kind: CALLER_ANSWER.badRequest, problem: spec.error });
    }
    if (this.jobs.get(id)?.job !== undefined) {
      return this.#answer(id, { kind: CALLER_ANSWER.accepted });
    }
    if (!this.writer.isPromising(this.tail.okSince !== undefined)) {
      return this.#answer(id, this.#notStored(id));
    }
    const job = { acceptedAt: this.timers.now(), id, pool: queue.pool, queue: queue.name, spec: spec.value };
    const outcome = await this.writer.write({ job, kind: JOB_RECORD.submit }, this.#writeUntil(req));
    if (outcome === WRITE_OUTCOME.refused) {
      return this.#answer(id, this.#notStored(id));
    }
    if (outcome === WRITE_OUTCOME.unknown) {
      this.#unsure.add(id);
    }
    return this.#answer(id, this.#toAnswer(outcome, CALLER_ANSWER.accepted));
  }

  /** Cancels a job once that is stored. */
  cancel(req: CallerRequest): Promise<CallerAnswer> {
    return this.#measure('cancel', this.#cancel(req));
  }

  async #cancel(req: CallerRequest): Promise<CallerAnswer> {
    const place = this.#place(req);
    if ('kind' in place) {
      return place;
    }
    const { id } = place;
    if (id === undefined) {
      return { kind: CALLER_ANSWER.gone };
    }
    const state = await this.#currentState(id, req);
    if (state === undefined) {
      return this.#answer(id, this.#unknownJob());
    }
    if (state !== JOB_STATE.queued && state !== JOB_STATE.running) {
      return this.#answer(id, { kind: CALLER_ANSWER.cancelled });
    }
    const outcome = await this.writer.write({ id, kind: JOB_RECORD.cancel }, this.#writeUntil(req));
    return this.#answer(id, this.#toAnswer(outcome, CALLER_ANSWER.cancelled));
  }

  /** Shows the state of a job, or how many jobs of a queue wait. */
  show(req: CallerRequest): Promise<CallerAnswer> {
    return this.#measure('show', this.#show(req));
  }

  async #show(req: CallerRequest): Promise<CallerAnswer> {
    const place = this.#place(req);
    if ('kind' in place) {
      return place;
    }
    const { id, queue, rest } = place;
    if (rest === '') {
      return { count: this.jobs.countQueued(queue.name), kind: CALLER_ANSWER.waiting };
    }
    if (id === undefined) {
      return { kind: CALLER_ANSWER.gone };
    }
    const state = await this.#currentState(id, req);
    return state === undefined ? this.#unknownJob() : { kind: CALLER_ANSWER.state, state };
  }

  async #measure(call: string, answered: Promise<CallerAnswer>): Promise<CallerAnswer> {
    const startedAt = this.timers.mono();
    const answer = await answered;
    this.metrics.onRequest(call, answer.kind, this.timers.mono() - startedAt);
    return answer;
  }

  #place(
    req: CallerRequest,
  ): CallerAnswer | { id: string | undefined; queue: FleetConfig['queues'][number]; rest: string } {
    if (this.cfg === undefined) {
      return { kind: CALLER_ANSWER.notRun, reason: REFUSAL.noConfiguration, retryAfterS: STORE_RETRY_S };
    }
    const found = findQueue(this.cfg, req.host, req.path);
    if (found === undefined) {
      return { kind: CALLER_ANSWER.unknownQueue };
    }
    return { ...found, id: JOB_ID.test(found.rest) ? found.rest : undefined };
  }

  // An id that is not known here may have been accepted by another node a moment ago.
  async #currentState(id: string, req: CallerRequest): Promise<JobState | undefined> {
    const known = this.jobs.stateOf(id);
    if (known !== undefined || this.tail.age() > MAX_STATE_AGE_MS) {
      return known;
    }
    const limit = new AbortController();
    this.timers.after(
      this.#timeLeft(req),
      () => {
        limit.abort();
      },
      this.signal,
    );
    await this.tail.catchUp(limit.signal);
    return this.jobs.stateOf(id);
  }

  #unknownJob(): CallerAnswer {
    return this.tail.age() > MAX_STATE_AGE_MS
      ? { kind: CALLER_ANSWER.notRun, reason: REFUSAL.stateNotCurrent, retryAfterS: STORE_RETRY_S }
      : { kind: CALLER_ANSWER.gone };
  }

  #toAnswer(outcome: string, stored: 'accepted' | 'cancelled'): CallerAnswer {
    if (outcome === WRITE_OUTCOME.stored) {
      return { kind: stored };
    }
    return outcome === WRITE_OUTCOME.refused ? this.#storeUnavailable() : { kind: CALLER_ANSWER.unsure };
  }

  // After an append without an answer the job may still run, whatever becomes of later requests for it.
  #notStored(id: string): CallerAnswer {
    return this.#unsure.has(id) ? { kind: CALLER_ANSWER.unsure } : this.#storeUnavailable();
  }

  #storeUnavailable(): CallerAnswer {
    return { kind: CALLER_ANSWER.notRun, reason: REFUSAL.storeUnavailable, retryAfterS: STORE_RETRY_S };
  }

  #timeLeft(req: CallerRequest): number {
    return Math.max(ANSWER_RESERVE_MS, (req.deadlineMs ?? DEFAULT_DEADLINE_MS) - ANSWER_RESERVE_MS);
  }

  #writeUntil(req: CallerRequest): number {
    return this.timers.mono() + this.#timeLeft(req);
  }

  #answer(id: string, answer: CallerAnswer): CallerAnswer {
    const stateAgeMs = Math.round(this.tail.age());
    const cfgVersion = this.cfg?.version;
    this.log.info({ answer, cfgVersion, job: id, stateAgeMs }, 'request answered');
    return answer;
  }
}
