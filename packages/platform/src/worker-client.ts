import type { Resources } from '@sequoiaquay/core';
import type { ResultAsync } from 'neverthrow';
import type { ZodType } from 'zod';
import { MAX_TASK_BODY_CHARS, resourcesSchema } from '@sequoiaquay/core';
import * as z from 'zod';
import type { PlatformError } from './platform-error';
import type { PlatformRequest, PlatformHttpSettings } from './platform-http-client';
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

/** What a worker says about one attempt; `usage` lags and is absent at first. */
export type AttemptReport = z.infer<typeof reportResponseSchema>;

/**
 * What a worker says about an attempt that it was told to stop. `started` covers only the `upMs` ms since
 * the worker began to keep its records.
 */
export type StopReport = z.infer<typeof stopResponseSchema>;

/** One attempt of a task on a worker. */
export interface AttemptRef {
  /** Address of the worker, `host:port`. */
  address: string;
  attempt: number;
  task: string;
}

/** What a worker is to run. */
export interface AttemptSpec {
  body: string;
  /** Checkpoint of an earlier attempt to continue from. */
  checkpoint?: string;
  contentType: string;
  demand: Resources;
  job: string;
  /** Time for which the worker runs the attempt without hearing of it again, in ms. */
  leaseMs: number;
  urgent: boolean;
}

/** Workers of the platform. */
export interface WorkerService {
  /** Checkpoints the attempt and stops it; refused with 409 when the work can't be checkpointed. */
  checkpoint: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** State of an attempt, without renewing its lease. */
  read: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** Renews the lease; refused with 404 when the worker doesn't know the attempt. */
  renew: (ref: AttemptRef, leaseMs: number, signal: AbortSignal) => ResultAsync<AttemptReport, PlatformError>;
  /** Starts an attempt; refused with 429 without room and 409 when it is fenced. */
  start: (
    ref: AttemptRef,
    spec: AttemptSpec,
    signal: AbortSignal,
  ) => ResultAsync<AttemptReport, PlatformError>;
  /** Stops an attempt, or makes sure that it never starts; says whether it had started. */
  stop: (ref: AttemptRef, signal: AbortSignal) => ResultAsync<StopReport, PlatformError>;
  /** Limits an attempt to a share of its speed, from 0 to 1. */
  throttle: (ref: AttemptRef, share: number, signal: AbortSignal) => ResultAsync<void, PlatformError>;
}

/** Workers reached over HTTP. */
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
    return this.#request(ref, 'POST', '/throttle', acceptedResponseSchema, signal, { share }).map(() => undefined);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map((client) => client.close()));
  }

  /** Closes the connections of workers other than those at the given addresses. */
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
