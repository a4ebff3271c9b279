import type { FleetReplica, LogEntry, LogPage } from '@sequoiaquay/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** A read below the oldest relayed record. */
export interface RelayTrimmed {
  oldest: number;
}

/** Records kept for relaying; an entry further behind starts from a snapshot. */
const RELAY_CAPACITY = 2048;

/** Keeps the latest records of the `fleet` stream and serves them to entries and other controls. */
export class Relay {
  #entries: LogEntry[] = [];
  readonly #waiting = new Set<() => void>();

  constructor(
    private readonly replica: FleetReplica,
    signal: AbortSignal,
  ) {
    replica.subscribe((entry) => {
      this.#add(entry);
    }, signal);
  }

  /** Records from an offset; waits for one until the signal aborts. */
  async read(from: number, signal: AbortSignal): Promise<Result<LogPage, RelayTrimmed>> {
    const next = this.replica.state.next;
    const oldest = this.#isCurrent() ? (this.#entries[0]?.offset ?? next) : next;
    if (from < oldest) {
      return err({ oldest });
    }
    if (from >= next) {
      await this.#nextRecord(signal);
    }
    const records = this.#entries.filter((entry) => entry.offset >= from);
    return ok({ end: this.replica.state.next, oldest, records });
  }

  #isCurrent(): boolean {
    return this.#entries.at(-1)?.offset === this.replica.state.next - 1;
  }

  #add(entry: LogEntry): void {
    // After the replica went on from a snapshot, the kept records no longer reach up to the new one.
    if (entry.offset !== (this.#entries.at(-1)?.offset ?? -1) + 1) {
      this.#entries = [];
    }
    this.#entries.push(entry);
    if (this.#entries.length > 2 * RELAY_CAPACITY) {
      this.#entries = this.#entries.slice(-RELAY_CAPACITY);
    }
    for (const wake of this.#waiting) {
      wake();
    }
  }

  #nextRecord(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.#waiting.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.#waiting.add(wake);
      signal.addEventListener('abort', wake, { once: true });
      if (signal.aborted) {
        wake();
      }
    });
  }
}
