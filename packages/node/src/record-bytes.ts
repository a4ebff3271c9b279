import type { KeyedRecord } from '@sequoiaquay/core/jobs';

/** Returns the size of the keys and values of records, in bytes. */
export function contentBytes(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + Buffer.byteLength(key) + sizeOf(value), 0);
}

function sizeOf(value: string | undefined): number {
  return value === undefined ? 0 : Buffer.byteLength(value);
}
