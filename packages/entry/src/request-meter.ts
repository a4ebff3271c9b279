import type { EventRing, Metrics } from '@sequoiaquay/runtime';
import type { LatencyHistograms } from '@sequoiaquay/runtime';
import type { CallerRefusal, CallerRefusalReason } from './refusal';

/** Id of a request with the pool and the job that it names. */
export interface MeteredRequest {
  id: string;
  job: string;
  pool: string;
}

/** Fields of a refusal that are recorded. */
export type RefusedRequest = Pick<CallerRefusal, 'outcome' | 'reason'>;

/** Kinds of request events in the event ring. */
export const REQUEST_EVENT = {
  accepted: 'request-accepted',
  answered: 'request-answered',
  claimed: 'request-claimed',
  granted: 'request-granted',
  refused: 'request-refused',
  retried: 'request-retried',
  sent: 'request-sent',
} as const;

/** Label for unknown pools and jobs; callers could otherwise create any number of time series. */
const UNKNOWN_LABEL = '(unknown)';

/** Reasons of refusals that can occur before the pool and the job are looked up in the settings. */
const UNPLANNED_REASONS: ReadonlySet<CallerRefusalReason> = new Set([
  'bad-request',
  'entry-not-ready',
  'request-too-large',
  'stopping',
  'unknown-job',
  'unknown-pool',
]);

/** Records request events in the event ring and in the metrics. */
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

  /** Records that a request is valid and is being handled. */
  recordAccepted(req: MeteredRequest): void {
    this.ring.add(REQUEST_EVENT.accepted, req.id, { job: req.job, pool: req.pool });
  }

  /** Records the outcome of claiming a request's key. */
  recordClaimed(req: MeteredRequest, result: string): void {
    this.#claims.inc({ pool: req.pool, result });
    this.ring.add(REQUEST_EVENT.claimed, req.id, { result });
  }

  /** Records that a slot on a VM was granted. */
  recordGranted(req: MeteredRequest, vm: string): void {
    this.ring.add(REQUEST_EVENT.granted, req.id, { vm });
  }

  /** Records that the first byte is about to be sent to a VM. */
  recordSent(req: MeteredRequest, vm: string): void {
    this.ring.add(REQUEST_EVENT.sent, req.id, { vm });
  }

  /** Records a retry on another target after a failure on a VM. */
  recordRetried(req: MeteredRequest, vm: string, reason: string): void {
    this.#retries.inc({ job: req.job, pool: req.pool });
    this.ring.add(REQUEST_EVENT.retried, req.id, { reason, vm });
  }

  /** Records that the caller gets a target's answer, `ms` milliseconds after the request was received. */
  recordAnswered(req: MeteredRequest, ms: number): void {
    const labels = { job: req.job, pool: req.pool };
    this.#requests.inc({ ...labels, outcome: 'answered', reason: 'answered' });
    this.latency.record({ job: req.job, pool: req.pool }, ms);
    this.ring.add(REQUEST_EVENT.answered, req.id, { ms: Math.round(ms) });
  }

  /** Records that the caller gets a refusal. */
  recordRefused(req: MeteredRequest, { outcome, reason }: RefusedRequest): void {
    const labels = UNPLANNED_REASONS.has(reason)
      ? { job: UNKNOWN_LABEL, pool: UNKNOWN_LABEL }
      : { job: req.job, pool: req.pool };
    this.#requests.inc({ ...labels, outcome, reason });
    this.ring.add(REQUEST_EVENT.refused, req.id, { outcome, reason });
  }
}
