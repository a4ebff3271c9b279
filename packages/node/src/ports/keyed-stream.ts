import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Ways in which a call to the store can fail. */
export const STORE_FAILURE = {
  /** The stream does not end where the caller expected. */
  conflict: 'conflict',
  /** No answer; the call may have been carried out, or may be later. */
  lost: 'lost',
  /** Nothing was done. */
  refused: 'refused',
  /** The records that were asked for have been dropped. */
  trimmed: 'trimmed',
} as const;

/** Failure of a call to the store. */
export interface StoreError {
  kind: (typeof STORE_FAILURE)[keyof typeof STORE_FAILURE];
  message: string;
  /** First retained offset for `trimmed`, end of the stream for `conflict`. */
  offset: number | undefined;
}

/** A record with its place in the stream. */
export interface StoredRecord extends KeyedRecord {
  offset: number;
}

/** Records that were read, and where the stream ends. */
export interface StreamPage {
  /** Offset after the last record of the stream. */
  end: number;
  records: StoredRecord[];
}

/** A page of the newest record of each key. */
export interface NewestPage extends StreamPage {
  hasMore: boolean;
}

/** An append. */
export interface AppendCall {
  /** The append is refused unless the stream ends at this offset. */
  expectedEnd?: number;
  /** Limit for the call, in ms. */
  limitMs: number;
  records: readonly KeyedRecord[];
  signal: AbortSignal;
}

/** A read of the records from an offset on. */
export interface ReadCall {
  from: number;
  limitMs: number;
  signal: AbortSignal;
  /** Time for which the store waits for a record, in ms. */
  waitMs: number;
}

/** An ordered stream of records in the platform's store, which keeps the newest record of each key. */
export interface KeyedStream {
  /** Appends all records or none; gives the offset of the first. */
  append: (call: AppendCall) => ResultAsync<number, StoreError>;
  /** The newest record of each key, by pages in order of the keys; not a snapshot. */
  newest: (
    afterKey: string | undefined,
    limitMs: number,
    signal: AbortSignal,
  ) => ResultAsync<NewestPage, StoreError>;
  read: (call: ReadCall) => ResultAsync<StreamPage, StoreError>;
}
