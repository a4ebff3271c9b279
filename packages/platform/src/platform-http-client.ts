import type { ZodType } from 'zod';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { PlatformError, PlatformFailure } from './platform-error';

/** Connection settings of the platform's services. */
export interface PlatformHttpSettings {
  /** Base URLs; a failed call makes the next one the current one. */
  addresses: string[];
  /** Bearer token. */
  secret: string;
  /** Time limit for one call in ms, in addition to its long-poll time. */
  timeoutMs: number;
}

/** Request to a service of the platform. */
export interface PlatformRequest<T> {
  body?: unknown;
  method: 'DELETE' | 'GET' | 'POST';
  path: string;
  schema: ZodType<T>;
  signal: AbortSignal;
  /** Time for which the service may hold the request open (long poll), in ms. */
  waitMs?: number;
}

const errorResponseSchema = z.object({ error: z.string().optional(), oldest: z.int().optional() });

const MAX_CONNECTIONS_PER_ADDRESS = 8;

/** Error statuses after which the request may nevertheless have taken effect. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

/** Error codes of connections that could not be established. */
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

  /** Sends one request without retries and validates the response body against the schema of the request. */
  request<T>(req: PlatformRequest<T>): ResultAsync<T, PlatformError> {
    return ResultAsync.fromPromise(this.#dispatch(req), (error) => this.#toError(error)).andThen((res) =>
      this.#checkResponse(req, res),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #dispatch(req: PlatformRequest<unknown>): Promise<{ body: unknown; status: number }> {
    const baseUrl = this.#settings.addresses[this.#addressIndex % this.#settings.addresses.length] ?? '';
    const timeoutMs = this.#settings.timeoutMs + (req.waitMs ?? 0);
    const res = await request(`${baseUrl}${req.path}`, {
      body: req.body === undefined ? undefined : JSON.stringify(req.body),
      dispatcher: this.#agent,
      headers: { authorization: `Bearer ${this.#settings.secret}`, 'content-type': 'application/json' },
      method: req.method,
      signal: createTimeoutSignal(req.signal, timeoutMs),
    });
    return { body: await res.body.json(), status: res.statusCode };
  }

  #checkResponse<T>(
    call: PlatformRequest<T>,
    answer: { body: unknown; status: number },
  ): ResultAsync<T, PlatformError> {
    if (answer.status >= 300) {
      return errAsync(toResponseError(answer.status, answer.body));
    }
    const parsed = call.schema.safeParse(answer.body);
    return parsed.success
      ? okAsync(parsed.data)
      : errAsync(createError('lost', `unexpected response: ${parsed.error.message}`));
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

// Without a connection, no part of the request was sent.
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
