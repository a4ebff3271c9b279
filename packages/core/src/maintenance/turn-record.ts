import * as z from 'zod';
import type { KeyedRecord } from '../jobs/job-record';
import type { PeakOnset } from './turn-forecast';
import { parseJson } from '../jobs/parse-json';

const KEY = 'peaks';

const onsetsSchema = z.array(z.tuple([z.string(), z.number()]));

/** Record of the starts of the latest peaks. */
export function encodeOnsets(onsets: readonly PeakOnset[]): KeyedRecord {
  return { key: KEY, value: JSON.stringify(onsets.map(({ at, pool }) => [pool, at])) };
}

/** Starts of peaks that an earlier leader has seen; none when there is no readable record of them. */
export function decodeOnsets(records: readonly KeyedRecord[]): PeakOnset[] {
  const value = records.find((record) => record.key === KEY)?.value;
  // Without a readable record the forecast learns anew.
  return parseJson(value ?? '[]', onsetsSchema)
    .map((rows) => rows.map(([pool, at]) => ({ at, pool })))
    .unwrapOr([]);
}
