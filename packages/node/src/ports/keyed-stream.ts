import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Kinds of failure of a call to the store. */
export const STORE_FAILURE = {
  /** The stream does not end at the expected offset; nothing was appended. */
  conflict: 'conflict',
  /** No usable answer: the call may have been carried out, or may still be. */
  lost: 'lost',
  /** The call was certainly not carried out, but may be if it is repeated. */
  refused: 'refused',
  /** The call was certainly not carried out, nor would the same call be if it were repeated. */
  rejected: 'rejected',
  /** The requested records have been dropped by retention. */
  trimmed: 'trimmed',
} as const;

/** Failure of a call to the store. */
export interface StoreError {
  kind: (typeof STORE_FAILURE)[keyof typeof STORE_FAILURE];
  message: string;
  /** First retained offset for `trimmed`, end of the stream for `conflict`, undefined otherwise. */
  offset: number | undefined;
}

/** Record with its offset in the stream. */
export interface StoredRecord extends KeyedRecord {
  offset: number;
}

/** Result of a read. */
export interface StreamPage {
  /** Offset after the last record of the stream, which may be beyond the records read. */
  end: number;
  records: StoredRecord[];
}

/** Page of the newest records by key. */
export interface NewestPage extends StreamPage {
  hasMore: boolean;
}

/** Arguments of an append. */
export interface AppendRequest {
  /** Makes the append conditional: it fails with `conflict` unless the stream ends at this offset. */
  expectedEnd?: number;
  records: readonly KeyedRecord[];
  signal: AbortSignal;
  timeoutMs: number;
}

/** Arguments of a read. */
export interface ReadRequest {
  /** Offset of the first record to read. */
  fromOffset: number;
  /** Most bytes of records to return; without it the store decides. */
  maxBytes?: number;
  signal: AbortSignal;
  /** Longest time until the response begins, in ms, to which `waitMs` is added. */
  timeoutMs: number;
  /** Longest time for which the store holds the read open until a record is appended, in ms. */
  waitMs: number;
}

/**
 * Ordered stream of keyed records in the platform's store. Retention may drop old records, but keeps the
 * newest record of each key.
 */
export interface KeyedStream {
  /** Appends all records or none; returns the offset of the first. */
  append: (req: AppendRequest) => ResultAsync<number, StoreError>;
  /** Reads the records from an offset on. */
  read: (req: ReadRequest) => ResultAsync<StreamPage, StoreError>;
  /**
   * Reads one page of the newest record of each key, ordered by key, beginning after `afterKey`. The pages
   * are not a consistent snapshot: the stream can change between two calls. `timeoutMs` limits the time
   * until the response begins; the call goes on while data arrives.
   */
  readNewestPage: (
    afterKey: string | undefined,
    timeoutMs: number,
    signal: AbortSignal,
  ) => ResultAsync<NewestPage, StoreError>;
}
