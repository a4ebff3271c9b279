import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { NewestPages } from './newest-pages';
import type { StoredRecord, StoreError } from './ports/keyed-stream';

/** Newest record of each key of a stream. */
export interface NewestRecords {
  /** Offset after the last record of the stream at the time of the first page. */
  end: number;
  /** Whether the stream changed while the pages were read, so that the records are not a consistent snapshot. */
  hasChanged: boolean;
  records: StoredRecord[];
}

/** Reads the newest record of each key from all pages; `timeoutMs` returns the timeout of the next page. */
export async function readNewest(
  pages: NewestPages,
  timeoutMs: () => number,
  signal: AbortSignal,
): Promise<Result<NewestRecords, StoreError>> {
  const records: StoredRecord[] = [];
  let hasChanged = false;
  let end: number | undefined;
  while (pages.hasMore) {
    const page = await pages.readNext(timeoutMs(), signal);
    if (page.isErr()) {
      return err(page.error);
    }
    records.push(...page.value.records);
    end ??= page.value.end;
    hasChanged ||= page.value.end !== end;
  }
  return ok({ end: end ?? 0, hasChanged, records });
}
