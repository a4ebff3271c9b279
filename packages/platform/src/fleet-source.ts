import type { FleetSnapshot } from '@sequoiaquay/core';
import type { ResultAsync } from 'neverthrow';
import { parseSnapshot } from '@sequoiaquay/core';
import { errAsync, okAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import * as z from 'zod';
import type { LogEntry, LogPage, LogService } from './log-client';
import type { PlatformError } from './platform-error';
import { STREAM } from './log-client';

/** Source of records for a replica of the fleet state. */
export interface FleetSource {
  /** Returns the newest snapshot, or undefined if the stream must be read from its first record. */
  bootstrap: (signal: AbortSignal) => ResultAsync<FleetSnapshot | undefined, PlatformError>;
  readonly name: string;
  /** Reads records from an offset; waits up to `waitMs` for a record. */
  read: (fromOffset: number, waitMs: number, signal: AbortSignal) => ResultAsync<LogPage, PlatformError>;
}

/** Maximum number of records per read. */
export const MAX_READ_RECORDS = 1000;

const snapshotRecordSchema = z.object({ kind: z.literal('snapshot'), state: z.unknown() });

/** Fleet source that reads directly from the log service. */
export class LogFleetSource implements FleetSource {
  readonly name = 'log';

  constructor(private readonly log: LogService) {}

  bootstrap(signal: AbortSignal): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.#findNewestSnapshot(0, undefined, signal);
  }

  read(fromOffset: number, waitMs: number, signal: AbortSignal): ResultAsync<LogPage, PlatformError> {
    return this.log.read({ from: fromOffset, limit: MAX_READ_RECORDS, signal, stream: STREAM.fleet, waitMs });
  }

  // Reads all retained records and returns the newest valid snapshot among them.
  #findNewestSnapshot(
    fromOffset: number,
    newestSoFar: FleetSnapshot | undefined,
    signal: AbortSignal,
  ): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.read(fromOffset, 0, signal)
      .orElse((error) =>
        error.kind === 'trimmed' ? this.read(error.oldest.unwrapOr(0), 0, signal) : errAsync(error),
      )
      .andThen((page) => {
        const newest = selectNewestSnapshot(page.records, newestSoFar);
        const last = page.records.at(-1);
        return last === undefined || last.offset + 1 >= page.end
          ? checkCoverage(newest, page.oldest)
          : this.#findNewestSnapshot(last.offset + 1, newest, signal);
      });
  }
}

// Fails unless the snapshot covers all trimmed records, which would otherwise be missing from the state.
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
    message: `no snapshot covers the trimmed records below offset ${oldest}`,
    oldest: Maybe.just(oldest),
    status: Maybe.nothing(),
  });
}

function selectNewestSnapshot(
  records: readonly LogEntry[],
  newestSoFar: FleetSnapshot | undefined,
): FleetSnapshot | undefined {
  let newest = newestSoFar;
  for (const entry of records) {
    const snapshot = decodeSnapshot(entry);
    if (snapshot !== undefined && snapshot.next > (newest?.next ?? -1)) {
      newest = snapshot;
    }
  }
  return newest;
}

// A snapshot is invalid if it claims to cover its own record or later ones.
function decodeSnapshot(entry: LogEntry): FleetSnapshot | undefined {
  const parsed = snapshotRecordSchema.safeParse(entry.value);
  const snapshot = parsed.success ? parseSnapshot(parsed.data.state).unwrapOr(undefined) : undefined;
  return snapshot !== undefined && snapshot.next <= entry.offset ? snapshot : undefined;
}
