import type { FleetReplica, LogEntry, LogPage } from '@sequoiaquay/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Error of a read that starts below the oldest relayed record. */
export interface TrimmedRead {
  oldest: number;
}

/** Number of records kept after trimming; a reader that is further behind starts from a snapshot. */
const RELAY_CAPACITY = 2048;

/** Keeps the latest records of the `fleet` stream for entries and other control processes. */
export class Relay {
  #entries: LogEntry[] = [];
  readonly #waiters = new Set<() => void>();

  constructor(
    private readonly replica: FleetReplica,
    signal: AbortSignal,
  ) {
    replica.subscribe((entry) => {
      this.#add(entry);
    }, signal);
  }

  /** Returns the records from an offset on; when there is none, waits for one until the signal aborts. */
  async read(from: number, signal: AbortSignal): Promise<Result<LogPage, TrimmedRead>> {
    const next = this.replica.state.next;
    const oldest = this.#isContiguous() ? (this.#entries[0]?.offset ?? next) : next;
    if (from < oldest) {
      return err({ oldest });
    }
    if (from >= next) {
      await this.#waitForRecord(signal);
    }
    const records = this.#entries.filter((entry) => entry.offset >= from);
    return ok({ end: this.replica.state.next, oldest, records });
  }

  #isContiguous(): boolean {
    return this.#entries.at(-1)?.offset === this.replica.state.next - 1;
  }

  #add(entry: LogEntry): void {
    // When the replica has loaded a snapshot, there is a gap between the kept records and this one.
    if (entry.offset !== (this.#entries.at(-1)?.offset ?? -1) + 1) {
      this.#entries = [];
    }
    this.#entries.push(entry);
    if (this.#entries.length > 2 * RELAY_CAPACITY) {
      this.#entries = this.#entries.slice(-RELAY_CAPACITY);
    }
    for (const wake of this.#waiters) {
      wake();
    }
  }

  #waitForRecord(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.#waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.#waiters.add(wake);
      signal.addEventListener('abort', wake, { once: true });
      if (signal.aborted) {
        wake();
      }
    });
  }
}
