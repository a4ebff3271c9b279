import type { EventRing, Metrics } from '@sequoiaquay/runtime';
import type { LatencyHistograms } from '@sequoiaquay/runtime';
import type { CallerRefusal, CallerRefusalReason } from './refusal';

/** Pool and job that a request names. */
export interface MeteredRequest {
  id: string;
  job: string;
  pool: string;
}

/** Part of a refusal that is counted. */
export type RefusedRequest = Pick<CallerRefusal, 'outcome' | 'reason'>;

/** Kinds of events that an entry records about a request. */
export const REQUEST_EVENT = {
  accepted: 'request-accepted',
  answered: 'request-answered',
  claimed: 'request-claimed',
  granted: 'request-granted',
  refused: 'request-refused',
  retried: 'request-retried',
  sent: 'request-sent',
} as const;

/** Label for a pool or job that no settings name; callers could make up any number of names. */
const UNKNOWN_NAME = '(unknown)';

/** Refusals that may be given before the pool and job are looked up in the settings. */
const UNPLANNED: ReadonlySet<CallerRefusalReason> = new Set([
  'bad-request',
  'entry-not-ready',
  'request-too-large',
  'stopping',
  'unknown-job',
  'unknown-pool',
]);

/** Puts the steps of requests into the event ring and counts them. */
export class RequestMeter {
  readonly #claims;
  readonly #requests;
  readonly #retries;

  constructor(
    private readonly ring: EventRing,
    private readonly latency: LatencyHistograms,
    metrics: Metrics,
  ) {
    this.#requests = metrics.createCounter({
      help: 'Requests by outcome and reason.',
      labels: ['pool', 'job', 'outcome', 'reason'],
      name: 'sequoiaquay_requests_total',
    });
    this.#claims = metrics.createCounter({
      help: 'Claims of idempotency keys by what came of them.',
      labels: ['pool', 'result'],
      name: 'sequoiaquay_claims_total',
    });
    this.#retries = metrics.createCounter({
      help: 'Repeatable requests sent again to another target.',
      labels: ['pool', 'job'],
      name: 'sequoiaquay_retries_total',
    });
    metrics.registerGauge(
      {
        help: 'Time from receipt to the whole answer, since the start of the process.',
        labels: ['pool', 'job', 'quantile'],
        name: 'sequoiaquay_request_seconds',
      },
      () => latency.quantiles(),
    );
  }

  /** The request names a job of a pool and is handled. */
  accepted(req: MeteredRequest): void {
    this.ring.add(REQUEST_EVENT.accepted, req.id, { job: req.job, pool: req.pool });
  }

  /** The claim of the request's key was decided. */
  claimed(req: MeteredRequest, result: string): void {
    this.#claims.inc({ pool: req.pool, result });
    this.ring.add(REQUEST_EVENT.claimed, req.id, { result });
  }

  /** A slot of a target was granted. */
  granted(req: MeteredRequest, vm: string): void {
    this.ring.add(REQUEST_EVENT.granted, req.id, { vm });
  }

  /** The first byte is about to go to a target. */
  sent(req: MeteredRequest, vm: string): void {
    this.ring.add(REQUEST_EVENT.sent, req.id, { vm });
  }

  /** The request goes to another target after a failure. */
  retried(req: MeteredRequest, vm: string, reason: string): void {
    this.#retries.inc({ job: req.job, pool: req.pool });
    this.ring.add(REQUEST_EVENT.retried, req.id, { reason, vm });
  }

  /** The caller gets a target's answer; `ms` is the time since the request was received. */
  answered(req: MeteredRequest, ms: number): void {
    const names = { job: req.job, pool: req.pool };
    this.#requests.inc({ ...names, outcome: 'answered', reason: 'answered' });
    this.latency.record({ job: req.job, pool: req.pool }, ms);
    this.ring.add(REQUEST_EVENT.answered, req.id, { ms: Math.round(ms) });
  }

  /** The caller gets a refusal. */
  refused(req: MeteredRequest, { outcome, reason }: RefusedRequest): void {
    const names = UNPLANNED.has(reason)
      ? { job: UNKNOWN_NAME, pool: UNKNOWN_NAME }
      : { job: req.job, pool: req.pool };
    this.#requests.inc({ ...names, outcome, reason });
    this.ring.add(REQUEST_EVENT.refused, req.id, { outcome, reason });
  }
}
