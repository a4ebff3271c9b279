import { createHash } from 'node:crypto';
import { Agent, request } from 'undici';

/** Outcome that the entry reported to the caller, or `no-answer` when no complete answer arrived. */
export type ObservedOutcome = 'answered' | 'no-answer' | 'not-run' | 'unknown';

/** Result of one request, as the caller observes it. */
export interface CallerAnswer {
  body: string;
  outcome: ObservedOutcome;
  reason: string;
  status: number;
}

/** Request of a caller to the pool `bookings`. */
export interface CallerRequest {
  body: unknown;
  headers?: Record<string, string>;
  job: 'charge' | 'quote';
  /** Time after which the caller aborts the request, in ms. */
  timeoutMs: number;
  url: string;
}

const agent = new Agent({ bodyTimeout: 0, connections: 256, headersTimeout: 0, pipelining: 1 });

/**
 * Sends a request and reads the whole answer. Never rejects: a failed request has the outcome `no-answer`.
 */
export async function sendRequest(req: CallerRequest): Promise<CallerAnswer> {
  try {
    const res = await request(`${req.url}/v1/pools/bookings/jobs/${req.job}`, {
      body: typeof req.body === 'string' ? req.body : JSON.stringify(req.body),
      dispatcher: agent,
      headers: { 'content-type': 'application/json', ...req.headers },
      method: 'POST',
      signal: AbortSignal.timeout(req.timeoutMs),
    });
    const body = await res.body.text();
    const outcome = String(res.headers['sequoiaquay-outcome'] ?? 'unknown') as ObservedOutcome;
    return {
      body,
      outcome,
      reason: outcome === 'answered' ? '' : parseReason(body),
      status: res.statusCode,
    };
  } catch (error) {
    return { body: '', outcome: 'no-answer', reason: String(error), status: 0 };
  }
}

/** Returns the digest that a target returns for a nonce. */
export function digestOf(nonce: string): string {
  return createHash('sha256').update(nonce).digest('hex');
}

function parseReason(body: string): string {
  try {
    return (JSON.parse(body) as { reason?: string }).reason ?? '';
  } catch {
    return '';
  }
}
