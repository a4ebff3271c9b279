import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import { contentBytes } from './record-bytes';

/**
 * Most bytes of keys and values that are combined in one append: the limit of an append that gets no answer
 * and the heartbeat behind it stay within the time after which another node takes over.
 */
export const MAX_APPEND_BYTES = 32_768;

/** Limits that the store sets on an append. */
export interface AppendLimits {
  /** Most bytes of the records of one append. */
  callBytes: number;
  /** Most bytes of a record. */
  recordBytes: number;
}

/** Limits of a store that states none. */
export const NO_APPEND_LIMITS: AppendLimits = { callBytes: Infinity, recordBytes: Infinity };

/** Lowest rate at which an append is expected to be sent, in bytes per ms. */
const MIN_BYTES_PER_MS = 100;

/** Returns the time allowed for sending the records of an append, in ms. */
export function sendAllowanceMs(records: readonly KeyedRecord[]): number {
  return contentBytes(records) / MIN_BYTES_PER_MS;
}
