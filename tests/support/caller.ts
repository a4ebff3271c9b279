import { createHash } from 'node:crypto';
import { Agent, request } from 'undici';

/** What a caller got: an outcome of the entry, or no answer at all. */
export type Seen = 'answered' | 'no-answer' | 'not-run' | 'unknown';

/** What a caller got for one request. */
export interface CallerAnswer {
  body: string;
  reason: string;
  seen: Seen;
  status: number;
}

/** A request of a caller to the pool `bookings`. */
export interface CallerCall {
  body: unknown;
  headers?: Record<string, string>;
  job: 'charge' | 'quote';
  /** Time after which the caller gives up, in ms. */
  patienceMs: number;
  url: string;
}

const agent = new Agent({ bodyTimeout: 0, connections: 256, headersTimeout: 0, pipelining: 1 });

/** Sends a request and reads the whole answer. */
export async function call(wish: CallerCall): Promise<CallerAnswer> {
  try {
    const res = await request(`${wish.url}/v1/pools/bookings/jobs/${wish.job}`, {
      body: typeof wish.body === 'string' ? wish.body : JSON.stringify(wish.body),
      dispatcher: agent,
      headers: { 'content-type': 'application/json', ...wish.headers },
      method: 'POST',
      signal: AbortSignal.timeout(wish.patienceMs),
    });
    const body = await res.body.text();
    const seen = String(res.headers['sequoiaquay-outcome'] ?? 'unknown') as Seen;
    return { body, reason: seen === 'answered' ? '' : reasonOf(body), seen, status: res.statusCode };
  } catch (error) {
    return { body: '', reason: String(error), seen: 'no-answer', status: 0 };
  }
}

/** Digest that a target gives for a nonce. */
export function digestOf(nonce: string): string {
  return createHash('sha256').update(nonce).digest('hex');
}

function reasonOf(body: string): string {
  try {
    return (JSON.parse(body) as { reason?: string }).reason ?? '';
  } catch {
    return '';
  }
}
