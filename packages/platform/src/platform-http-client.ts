import type { ZodType } from 'zod';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { PlatformError, PlatformFailure } from './platform-error';

/** Where the platform's services are, and how to reach them. */
export interface PlatformHttpSettings {
  /** Base URLs, tried in turn. */
  addresses: string[];
  secret: string;
  /** Limit for one call, in ms, on top of any long-poll time. */
  timeoutMs: number;
}

/** A call to the platform. */
export interface PlatformRequest<T> {
  body?: unknown;
  method: 'DELETE' | 'GET' | 'POST';
  path: string;
  schema: ZodType<T>;
  signal: AbortSignal;
  /** Time that the service may hold the call open, in ms. */
  waitMs?: number;
}

const errorResponseSchema = z.object({ error: z.string().optional(), oldest: z.int().optional() });

const MAX_CONNECTIONS_PER_ADDRESS = 8;

/** Statuses after which the request may have taken effect. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

/** Error codes of connections that could not be opened. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** HTTP client of the platform's services. */
export class PlatformHttpClient {
  readonly #agent = new Agent({ connections: MAX_CONNECTIONS_PER_ADDRESS, pipelining: 1 });
  #addressIndex = 0;
  readonly #settings: PlatformHttpSettings;

  constructor(settings: PlatformHttpSettings) {
    this.#settings = settings;
  }

  /** Makes one call and checks the answer against the schema. */
  request<T>(call: PlatformRequest<T>): ResultAsync<T, PlatformError> {
    return ResultAsync.fromPromise(this.#dispatch(call), (error) => this.#toError(error)).andThen((answer) =>
      this.#checkResponse(call, answer),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #dispatch(call: PlatformRequest<unknown>): Promise<{ body: unknown; status: number }> {
    const base = this.#settings.addresses[this.#addressIndex % this.#settings.addresses.length] ?? '';
    const limit = this.#settings.timeoutMs + (call.waitMs ?? 0);
    const res = await request(`${base}${call.path}`, {
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      dispatcher: this.#agent,
      headers: { authorization: `Bearer ${this.#settings.secret}`, 'content-type': 'application/json' },
      method: call.method,
      signal: createTimeoutSignal(call.signal, limit),
    });
    return { body: await res.body.json(), status: res.statusCode };
  }

  #checkResponse<T>(call: PlatformRequest<T>, answer: { body: unknown; status: number }): ResultAsync<T, PlatformError> {
    if (answer.status >= 300) {
      return errAsync(toResponseError(answer.status, answer.body));
    }
    const parsed = call.schema.safeParse(answer.body);
    return parsed.success
      ? okAsync(parsed.data)
      : errAsync(createError('lost', `unexpected answer: ${parsed.error.message}`));
  }

  #toError(error: unknown): PlatformError {
    this.#addressIndex += 1;
    const cause = error instanceof Error ? error : new Error(String(error));
    const kind = cause.name === 'TimeoutError' ? 'timeout' : isConnectError(cause) ? 'refused' : 'lost';
    return { ...createError(kind, cause.message), cause: Maybe.just(cause) };
  }
}

function createError(kind: PlatformFailure, message: string): PlatformError {
  return { cause: Maybe.nothing(), kind, message, oldest: Maybe.nothing(), status: Maybe.nothing() };
}

// No connection came about, so no byte of the request left.
function isConnectError(cause: Error): boolean {
  return 'code' in cause && typeof cause.code === 'string' && CONNECT_ERROR_CODES.has(cause.code);
}

function failureKindOf(status: number): PlatformFailure {
  if (status === 410) {
    return 'trimmed';
  }
  return AMBIGUOUS_STATUSES.has(status) ? 'lost' : 'refused';
}

function toResponseError(status: number, body: unknown): PlatformError {
  const parsed = errorResponseSchema.safeParse(body);
  const detail = parsed.success ? parsed.data : {};
  return {
    cause: Maybe.nothing(),
    kind: failureKindOf(status),
    message: detail.error ?? `status ${status}`,
    oldest: Maybe.of(detail.oldest),
    status: Maybe.just(status),
  };
}
