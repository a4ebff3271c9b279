import type { FleetSnapshot } from '@sequoiaquay/core';
import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import { z } from 'zod';
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
  /** Age of the source's own state at its last answer, in ms; undefined when it isn't known. */
  readonly sourceAgeMs?: number;
}

/** Most records that one read returns. */
export const READ_LIMIT = 1000;

const snapshotRecordSchema = z.object({ kind: z.literal('snapshot'), state: z.unknown() });

/** Source that reads the log service itself. */
export class LogFleetSource implements FleetSource {
  readonly name = 'log';

  constructor(private readonly log: LogService) {}

  bootstrap(signal: AbortSignal): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.#scan(0, undefined, signal);
  }

  read(from: number, waitMs: number, signal: AbortSignal): ResultAsync<LogPage, PlatformError> {
    return this.log.read({ from, limit: READ_LIMIT, signal, stream: STREAM.fleet, waitMs });
  }

  // Reads the retained records to the end and keeps the last snapshot among them.
  #scan(
    from: number,
    found: FleetSnapshot | undefined,
    signal: AbortSignal,
  ): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return this.read(from, 0, signal)
      .orElse((error) =>
        error.kind === 'trimmed' ? this.read(error.oldest.unwrapOr(0), 0, signal) : errAsync(error),
      )
      .andThen((page) => {
        const newest = lastSnapshot(page.records) ?? found;
        const last = page.records.at(-1);
        return last === undefined || last.offset + 1 >= page.end
          ? okAsync(newest)
          : this.#scan(last.offset + 1, newest, signal);
      });
  }
}

function lastSnapshot(records: readonly LogEntry[]): FleetSnapshot | undefined {
  for (const entry of records.toReversed()) {
    const parsed = snapshotRecordSchema.safeParse(entry.value);
    if (parsed.success) {
      return parsed.data.state as FleetSnapshot;
    }
  }
  return undefined;
}
