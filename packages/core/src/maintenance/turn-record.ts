import * as z from 'zod';
import type { KeyedRecord } from '../jobs/job-record';
import type { PeakOnset } from './turn-forecast';

const KEY = 'peaks';

const onsetsSchema = z.array(z.tuple([z.string(), z.number()]));

/** Record of the starts of the latest peaks. */
export function encodeOnsets(onsets: readonly PeakOnset[]): KeyedRecord {
  return { key: KEY, value: JSON.stringify(onsets.map(({ at, pool }) => [pool, at])) };
}

/** Starts of peaks that an earlier leader has seen; none when there is no readable record of them. */
export function decodeOnsets(records: readonly KeyedRecord[]): PeakOnset[] {
  const value = records.find((record) => record.key === KEY)?.value;
  if (value === undefined) {
    return [];
  }
  try {
    const parsed = onsetsSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data.map(([pool, at]) => ({ at, pool })) : [];
  } catch {
    // Without them the forecast learns anew.
    return [];
  }
}
