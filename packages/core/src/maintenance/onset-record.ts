import * as z from 'zod';
import type { KeyedRecord } from '../jobs/job-record';
import type { PeakOnset } from './rotation-forecast';
import { parseJson } from '../jobs/parse-json';

const KEY = 'peaks';

const onsetsSchema = z.array(z.tuple([z.string(), z.number()]));

/** Encodes the onsets of the latest peaks as a record for later leaders. */
export function encodeOnsets(onsets: readonly PeakOnset[]): KeyedRecord {
  return { key: KEY, value: JSON.stringify(onsets.map(({ at, pool }) => [pool, at])) };
}

/** Decodes the peak onsets that an earlier leader stored; empty when no record of them can be read. */
export function decodeOnsets(records: readonly KeyedRecord[]): PeakOnset[] {
  const value = records.find((record) => record.key === KEY)?.value;
  // Without a readable record, the forecast starts without history.
  return parseJson(value ?? '[]', onsetsSchema)
    .map((rows) => rows.map(([pool, at]) => ({ at, pool })))
    .unwrapOr([]);
}
