import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { KeyedStream, StoredRecord, StoreError } from './ports/keyed-stream';

/** Newest record of each key of a stream. */
export interface NewestRecords {
  /** Offset after the last record of the stream at the time of the first page. */
  end: number;
  /** Whether the stream changed while the pages were read, so that the records are not a consistent snapshot. */
  hasChanged: boolean;
  records: StoredRecord[];
}

/** Reads the newest record of each key, page by page; `timeoutMs` returns the timeout of the next page. */
export async function readNewest(
  stream: KeyedStream,
  timeoutMs: () => number,
  signal: AbortSignal,
): Promise<Result<NewestRecords, StoreError>> {
  const records: StoredRecord[] = [];
  let hasChanged = false;
  let end: number | undefined;
  let afterKey: string | undefined;
  let hasMore = true;
  while (hasMore) {
    const page = await stream.readNewestPage(afterKey, timeoutMs(), signal);
    if (page.isErr()) {
      return err(page.error);
    }
    records.push(...page.value.records);
    end ??= page.value.end;
    hasChanged ||= page.value.end !== end;
    afterKey = page.value.records.at(-1)?.key;
    hasMore = page.value.hasMore && afterKey !== undefined;
  }
  return ok({ end: end ?? 0, hasChanged, records });
}
