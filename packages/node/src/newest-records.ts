import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { KeyedStream, StoredRecord, StoreError } from './ports/keyed-stream';

/** The newest record of each key of a stream. */
export interface NewestRecords {
  /** Whether records came while the pages were read, so that the records are of different times. */
  changed: boolean;
  /** Offset after the last record when the first page was read. */
  end: number;
  records: StoredRecord[];
}

/** Reads the newest record of each key page by page; each page has a limit of its own, in ms. */
export async function readNewest(
  stream: KeyedStream,
  limitMs: () => number,
  signal: AbortSignal,
): Promise<Result<NewestRecords, StoreError>> {
  const records: StoredRecord[] = [];
  let changed = false;
  let end: number | undefined;
  let after: string | undefined;
  let hasMore = true;
  while (hasMore) {
    const page = await stream.newest(after, limitMs(), signal);
    if (page.isErr()) {
      return err(page.error);
    }
    records.push(...page.value.records);
    end ??= page.value.end;
    changed ||= page.value.end !== end;
    after = page.value.records.at(-1)?.key;
    hasMore = page.value.hasMore && after !== undefined;
  }
  return ok({ changed, end: end ?? 0, records });
}
