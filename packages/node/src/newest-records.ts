import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { NewestPages } from './newest-pages';
import type { StoredRecord, StoreError } from './ports/keyed-stream';

/** Result of reading the newest record of each key of a stream. */
export interface NewestRecords {
  /** Offset after the last record of the stream at the time of the first page. */
  end: number;
  /** Whether the stream changed while the pages were read, so that the records are not a consistent snapshot. */
  hasChanged: boolean;
}

/** Delay before a failed page is read again, in ms. */
const RETRY_DELAY_MS = 60;

/** Failures of a page in a row after which the records are given up. */
const MAX_FAILURES_IN_ROW = 3;

/**
 * Reads the newest record of each key from all pages, and a failed page again; `timeoutMs` is the timeout of
 * a page, in ms. Stops at the first page that shows that the stream has changed. The records go to `onRecord` page by
 * page, since all of them may be more than the memory holds.
 */
export async function readNewest(
  pages: NewestPages,
  onRecord: (record: StoredRecord) => void,
  timeoutMs: number,
  timers: TimerService,
  signal: AbortSignal,
): Promise<Result<NewestRecords, StoreError>> {
  let hasChanged = false;
  let end: number | undefined;
  while (pages.hasMore && !hasChanged) {
    const page = await pages.readNext(timeoutMs, signal);
    if (page.isErr()) {
      if (pages.failuresInRow >= MAX_FAILURES_IN_ROW || signal.aborted) {
        return err(page.error);
      }
      await timers.sleep(RETRY_DELAY_MS, signal);
      continue;
    }
    page.value.records.forEach(onRecord);
    end ??= page.value.end;
    hasChanged ||= page.value.end !== end;
  }
  return ok({ end: end ?? 0, hasChanged });
}
