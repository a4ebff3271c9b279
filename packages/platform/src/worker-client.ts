import type { Resources } from '@sequoiaquay/core';
import type { ResultAsync } from 'neverthrow';
import type { ZodType } from 'zod';
import { MAX_TASK_BODY_CHARS, resourcesSchema } from '@sequoiaquay/core';
import * as z from 'zod';
import type { PlatformError } from './platform-error';
import type { PlatformHttpSettings, PlatformRequest } from './platform-http-client';
import { PlatformHttpClient } from './platform-http-client';

const reportResponseSchema = z.object({
  answer: z
    .object({ body: z.string().max(MAX_TASK_BODY_CHARS), contentType: z.string().max(200) })
    .optional(),
  checkpoint: z.string().max(MAX_TASK_BODY_CHARS).optional(),
  progress: z.number().min(0).max(1),
  reason: z.string().max(500).optional(),
  state: z.enum(['checkpointed', 'done', 'failed', 'running', 'stopped']),
  usage: resourcesSchema.extend({ asOf: z.int() }).optional(),
});

const stopResponseSchema = z.object({ started: z.boolean(), upMs: z.number().min(0) });
const acceptedResponseSchema = z.object({ accepted: z.literal(true) });

/** Report of a worker on one attempt; `usage` lags behind and is absent at first. */
export type AttemptReport = z.infer<typeof reportResponseSchema>;

/**
 * Response of a worker to the order to stop an attempt. `started` covers only the last `upMs` ms, the time
 * since the worker began to keep its records.
 */
export type StopReport = z.infer<typeof stopResponseSchema>;

/** One attempt of a task on a worker. */
export interface AttemptRef {
  /** Address of the worker, `host:port`. */
  address: string;
  attempt: number;
  task: string;
}

/** Specification of an attempt to start on a worker. */
export interface AttemptSpec {
  body: string;
  /** Checkpoint of an earlier attempt to continue from. */
  checkpoint?: string;
  contentType: string;
  demand: Resources;
  job: string;
  /** Duration of the lease in ms: the worker stops the attempt unless the lease is renewed within it. */
  leaseMs: number;
  urgent: boolean;
}

/** Service of the platform's workers. */
export interface WorkerService {
  /** Checkpoints the attempt and stops it; refused with 409 if the task cannot be checkpointed. */
  checkpoint: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** Returns the state of an attempt without renewing its lease. */
  read: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** Renews the lease of an attempt; refused with 404 if the worker has no record of the attempt. */
  renew: (ref: AttemptRef, leaseMs: number, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** Starts an attempt; refused with 429 if the worker lacks free capacity and with 409 if the attempt is fenced. */
  start: (
    ref: AttemptRef,
    spec: AttemptSpec,
    signal: AbortSignal,
  ) => ResultAsync<AttemptReport, PlatformError>;
  /** Stops an attempt or prevents it from ever starting; reports whether it had started. */
  stop: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<StopReport, PlatformError>;
  /** Throttles an attempt to a share of its full speed, from 0 to 1. */
  throttle: (ref: AttemptRef, share: number, signal: AbortSignal) => ResultAsync<void, PlatformError>;
}

/** HTTP client of the platform's workers, with one connection pool per worker. */
export class WorkerClient implements WorkerService {
  readonly #clients = new Map<string, PlatformHttpClient>();

  constructor(private readonly settings: Omit<PlatformHttpSettings, 'addresses'>) {}

  checkpoint(ref: AttemptRef, signal: AbortSignal): ResultAsync<AttemptReport, PlatformError> {
    return this.#request(ref, 'POST', '/checkpoint', reportResponseSchema, signal, {});
  }

  read(ref: AttemptRef, signal: AbortSignal): ResultAsync<AttemptReport, PlatformError> {
    return this.#request(ref, 'GET', '', reportResponseSchema, signal);
  }

  renew(ref: AttemptRef, leaseMs: number, signal: AbortSignal): ResultAsync<AttemptReport, PlatformError> {
    return this.#request(ref, 'POST', '/renew', reportResponseSchema, signal, { leaseMs });
  }

  start(ref: AttemptRef, spec: AttemptSpec, signal: AbortSignal): ResultAsync<AttemptReport, PlatformError> {
    return this.#request(ref, 'POST', '', reportResponseSchema, signal, spec);
  }

  stop(ref: AttemptRef, signal: AbortSignal): ResultAsync<StopReport, PlatformError> {
    return this.#request(ref, 'DELETE', '', stopResponseSchema, signal);
  }

  throttle(ref: AttemptRef, share: number, signal: AbortSignal): ResultAsync<void, PlatformError> {
    return this.#request(ref, 'POST', '/throttle', acceptedResponseSchema, signal, { share }).map(
      () => undefined,
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
  }

  /** Closes the connections to all workers except those at the given addresses. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (!addresses.has(address)) {
        this.#clients.delete(address);
        void client.close();
      }
    }
  }

  #request<T>(
    ref: AttemptRef,
    method: PlatformRequest<T>['method'],
    action: string,
    schema: ZodType<T>,
    signal: AbortSignal,
    body?: unknown,
  ): ResultAsync<T, PlatformError> {
    const path = `/v1/tasks/${encodeURIComponent(ref.task)}/attempts/${ref.attempt}${action}`;
    return this.#getClient(ref.address).request({ body, method, path, schema, signal });
  }

  #getClient(address: string): PlatformHttpClient {
    const known = this.#clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new PlatformHttpClient({ ...this.settings, addresses: [`http://${address}`] });
    this.#clients.set(address, created);
    return created;
  }
}
