import type { FleetSnapshot } from '@sequoiaquay/core';
import type { ResultAsync } from 'neverthrow';
import { parseSnapshot } from '@sequoiaquay/core';
import { errAsync, okAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import * as z from 'zod';
import type { LogEntry, LogPage, LogService } from './log-client';
import type { PlatformError } from './platform-error';
import { STREAM } from './log-client';

/** Where a replica of the fleet state gets its records. */
export interface FleetSource {
  /** Newest state to start from, or undefined when the stream is to be read from its first record. */
  bootstrap: (signal: AbortSignal) => ResultAsync<FleetSnapshot | undefined, PlatformError>;
  readonly name: string;
  /** Records from an offset; waits up to `waitMs` for one. */
  read: (from: number, waitMs: number, signal: AbortSignal) => ResultAsync<LogPage, PlatformError>;
}

/** Most records that one read returns. */
export const MAX_READ_RECORDS = 1000;

const snapshotRecordSchema = z.object({ kind: z.literal('snapshot'), state: z.unknown() });

/** Source that reads the log service itself. */
export class LogFleetSource implements FleetSource {
  readonly name = 'log';

  constructor(private readonly log: LogService) {}

  bootstrap(signal: AbortSignal): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.#findNewestSnapshot(0, undefined, signal);
  }

  read(from: number, waitMs: number, signal: AbortSignal): ResultAsync<LogPage, PlatformError> {
    return this.log.read({ from, limit: MAX_READ_RECORDS, signal, stream: STREAM.fleet, waitMs });
  }

  // Reads the retained records to the end and keeps the newest usable snapshot among them.
  #findNewestSnapshot(
    from: number,
    found: FleetSnapshot | undefined,
    signal: AbortSignal,
  ): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.read(from, 0, signal)
      .orElse((error) =>
        error.kind === 'trimmed' ? this.read(error.oldest.unwrapOr(0), 0, signal) : errAsync(error),
      )
      .andThen((page) => {
        const newest = selectNewestSnapshot(page.records, found);
        const last = page.records.at(-1);
        return last === undefined || last.offset + 1 >= page.end
          ? checkCoverage(newest, page.oldest)
          : this.#findNewestSnapshot(last.offset + 1, newest, signal);
      });
  }
}

// Without a snapshot at or above the oldest record, the trimmed records would be missing from the state.
function checkCoverage(
  newest: FleetSnapshot | undefined,
  oldest: number,
): ResultAsync<FleetSnapshot | undefined, PlatformError> {
  if ((newest?.next ?? 0) >= oldest) {
    return okAsync(newest);
  }
  return errAsync({
    cause: Maybe.nothing(),
    kind: 'lost',
    message: `no snapshot covers the records below offset ${oldest}`,
    oldest: Maybe.just(oldest),
    status: Maybe.nothing(),
  });
}

function selectNewestSnapshot(
  records: readonly LogEntry[],
  found: FleetSnapshot | undefined,
): FleetSnapshot | undefined {
  let newest = found;
  for (const entry of records) {
    const snapshot = decodeSnapshot(entry);
    if (snapshot !== undefined && snapshot.next > (newest?.next ?? -1)) {
      newest = snapshot;
    }
  }
  return newest;
}

// A snapshot can only hold records before its own.
function decodeSnapshot(entry: LogEntry): FleetSnapshot | undefined {
  const parsed = snapshotRecordSchema.safeParse(entry.value);
  const snapshot = parsed.success ? parseSnapshot(parsed.data.state).unwrapOr(undefined) : undefined;
  return snapshot !== undefined && snapshot.next <= entry.offset ? snapshot : undefined;
}
