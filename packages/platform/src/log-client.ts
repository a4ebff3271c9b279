import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import type { PlatformError } from './platform-error';
import type { PlatformHttpClient } from './platform-http-client';

/** Stream names of the system on the log service. */
export const STREAM = { fleet: 'fleet', work: 'work' } as const;
/** Stream of the log service. */
export type StreamName = (typeof STREAM)[keyof typeof STREAM];

const appendResponseSchema = z.object({ offset: z.int().min(0) });

const readResponseSchema = z.object({
  end: z.int().min(0),
  oldest: z.int().min(0),
  records: z.array(z.object({ offset: z.int().min(0), value: z.unknown() })),
});

/** HTTP statuses from here on are failures of the service. */
const MIN_SERVER_ERROR_STATUS = 500;

/** A record read from the log, not yet checked. */
export interface LogEntry {
  offset: number;
  value?: unknown;
}

/** Records read from the log. */
export interface LogPage {
  /** Offset after the last record of the stream. */
  end: number;
  oldest: number;
  records: LogEntry[];
  /** Age of the source's own state, in ms; absent when the source is the log itself. */
  sourceAgeMs?: number;
}

/** A read from a stream. */
export interface LogReadRequest {
  from: number;
  /** Most records to return. */
  limit: number;
  signal: AbortSignal;
  stream: StreamName;
  /** Time to wait for a record, in ms. */
  waitMs: number;
}

/** Log service of the platform. */
export interface LogService {
  /** Appends records in one append; gives the offset of the first. */
  append: (
    stream: StreamName,
    records: readonly unknown[],
    signal: AbortSignal,
  ) => ResultAsync<number, PlatformError>;
  /** Reads records from an offset. */
  read: (read: LogReadRequest) => ResultAsync<LogPage, PlatformError>;
}

/** Log service reached over HTTP. */
export class LogClient implements LogService {
  #reachable: boolean | undefined;

  constructor(private readonly client: PlatformHttpClient) {}

  /** Whether the last call got an answer other than a failure of the service; undefined before the first. */
  get reachable(): boolean | undefined {
    return this.#reachable;
  }

  append(
    stream: StreamName,
    records: readonly unknown[],
    signal: AbortSignal,
  ): ResultAsync<number, PlatformError> {
    return this.#trackReachability(
      signal,
      this.client.request({
        body: { records },
        method: 'POST',
        path: `/v1/streams/${stream}/records`,
        schema: appendResponseSchema,
        signal,
      }),
    ).map((answer) => answer.offset);
  }

  read(read: LogReadRequest): ResultAsync<LogPage, PlatformError> {
    const query = `from=${read.from}&limit=${read.limit}&waitMs=${read.waitMs}`;
    return this.#trackReachability(
      read.signal,
      this.client.request({
        method: 'GET',
        path: `/v1/streams/${read.stream}/records?${query}`,
        schema: readResponseSchema,
        signal: read.signal,
        waitMs: read.waitMs,
      }),
    );
  }

  #trackReachability<T>(signal: AbortSignal, call: ResultAsync<T, PlatformError>): ResultAsync<T, PlatformError> {
    return call
      .andTee(() => {
        this.#reachable = true;
      })
      .orTee((error) => {
        // A call that its own caller ended says nothing about the service.
        if (!signal.aborted) {
          this.#reachable = error.status.unwrapOr(MIN_SERVER_ERROR_STATUS) < MIN_SERVER_ERROR_STATUS;
        }
      });
  }
}
