import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import type { PlatformError } from './platform-error';
import type { PlatformHttpClient } from './platform-http-client';

/** Names of the streams that the system keeps in the log service. */
export const STREAM = { fleet: 'fleet', work: 'work' } as const;
/** Name of a stream of the log service. */
export type StreamName = (typeof STREAM)[keyof typeof STREAM];

const appendResponseSchema = z.object({ offset: z.int().min(0) });

const readResponseSchema = z.object({
  end: z.int().min(0),
  oldest: z.int().min(0),
  records: z.array(z.object({ offset: z.int().min(0), value: z.unknown() })),
});

/** Lowest HTTP status that indicates a failure of the service. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Record read from the log, not yet validated. */
export interface LogEntry {
  offset: number;
  value?: unknown;
}

/** Page of records read from the log. */
export interface LogPage {
  /** Offset after the last record of the stream. */
  end: number;
  /** Offset of the oldest retained record. */
  oldest: number;
  records: LogEntry[];
  /** Age of the source's own state, in ms; absent when the source is the log itself. */
  sourceAgeMs?: number;
}

/** Parameters of a read from a stream. */
export interface LogReadRequest {
  /** Offset of the first record to return. */
  from: number;
  /** Maximum number of records to return. */
  limit: number;
  signal: AbortSignal;
  stream: StreamName;
  /** Maximum time to wait for a record, in ms. */
  waitMs: number;
}

/** Log service of the platform. */
export interface LogService {
  /** Appends records in a single request; returns the offset of the first one. */
  append: (
    stream: StreamName,
    records: readonly unknown[],
    signal: AbortSignal,
  ) => ResultAsync<number, PlatformError>;
  /** Reads records from an offset. */
  read: (req: LogReadRequest) => ResultAsync<LogPage, PlatformError>;
}

/** HTTP client of the log service. */
export class LogClient implements LogService {
  #reachable: boolean | undefined;

  constructor(private readonly client: PlatformHttpClient) {}

  /** Whether the last call received a response with a status below 500; undefined before the first call. */
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
    ).map((res) => res.offset);
  }

  read(req: LogReadRequest): ResultAsync<LogPage, PlatformError> {
    const query = `from=${req.from}&limit=${req.limit}&waitMs=${req.waitMs}`;
    return this.#trackReachability(
      req.signal,
      this.client.request({
        method: 'GET',
        path: `/v1/streams/${req.stream}/records?${query}`,
        schema: readResponseSchema,
        signal: req.signal,
        waitMs: req.waitMs,
      }),
    );
  }

  #trackReachability<T>(
    signal: AbortSignal,
    call: ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return call
      .andTee(() => {
        this.#reachable = true;
      })
      .orTee((error) => {
        // A call aborted by its caller gives no information about the service.
        if (!signal.aborted) {
          this.#reachable = error.status.unwrapOr(MIN_SERVER_ERROR_STATUS) < MIN_SERVER_ERROR_STATUS;
        }
      });
  }
}
