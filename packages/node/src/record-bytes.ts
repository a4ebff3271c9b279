import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { AppendLimits } from './append-limits';

/** Bytes that the store adds to the key and the value of a record. */
const RECORD_OVERHEAD_BYTES = 5;

/** Returns the size of the keys and values of records, in bytes. */
export function contentBytes(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + Buffer.byteLength(key) + sizeOf(value), 0);
}

/** Returns the size of records as they are stored, with the lengths of record and key, in bytes. */
export function storedBytes(records: readonly KeyedRecord[]): number {
  return contentBytes(records) + records.length * RECORD_OVERHEAD_BYTES;
}

/** Returns the most bytes of the key and the value of a record that the store takes. */
export function maxContentBytes({ callBytes, recordBytes }: AppendLimits): number {
  return Math.min(callBytes, recordBytes) - RECORD_OVERHEAD_BYTES;
}

function sizeOf(value: string | undefined): number {
  return value === undefined ? 0 : Buffer.byteLength(value);
}
