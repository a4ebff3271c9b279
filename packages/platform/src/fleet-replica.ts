import type { FleetRecord, FleetRefusal, FleetSnapshot, FleetState } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { applyFleetRecord, emptyFleetState, fromSnapshot } from '@sequoiaquay/core';
import type { FleetSource } from './fleet-source';
import type { LogEntry, LogPage } from './log-client';

/** Result of applying one record to the fleet state: the record, or the reason for which it is refused. */
export type FleetApplyResult = Result<FleetRecord, FleetRefusal>;

/** Offset of a record in the log and the result of applying it. */
export interface AppliedRecord {
  offset: number;
  /** Result of applying the record. */
  verdict: FleetApplyResult;
}

/** Listener that is called for each record after the replica has applied or refused it. */
export type FleetRecordListener = (entry: LogEntry, result: FleetApplyResult) => void;

/** Settings of a fleet replica. Times in ms. */
export interface FleetReplicaSettings {
  /** Age of a source's state above which another source is tried. */
  maxSourceAgeMs: number;
  /** Interval at which the preferred (first) source is retried while another one is followed. */
  preferredMs: number;
  /** Delay after a failure of a source. */
  retryMs: number;
  /** Maximum time for which a read waits for a record. */
  waitMs: number;
}

/** Counters of a fleet replica. */
export interface FleetReplicaCounters {
  applied: number;
  refused: number;
  /** Number of times that a snapshot replaced the state. */
  restored: number;
  sourceFailures: number;
  unreadable: number;
}

/**
 * Replica of the fleet state. Follows the `fleet` stream from the first source that responds, and returns to
 * the preferred (first) source once that responds again. The offset of the state never decreases.
 */
export class FleetReplica {
  readonly counters: FleetReplicaCounters = {
    applied: 0,
    refused: 0,
    restored: 0,
    sourceFailures: 0,
    unreadable: 0,
  };
  #attemptController = new AbortController();
  #caughtUp = false;
  #currentAt: number | undefined;
  readonly #listeners = new Set<FleetRecordListener>();
  #sourceIndex = 0;
  #isBootstrapped = false;
  #state: FleetState = emptyFleetState();
  #failedAttempts = 0;

  constructor(
    private readonly sources: () => readonly FleetSource[],
    private readonly settings: FleetReplicaSettings,
    private readonly timers: TimerService,
  ) {}

  /** Time since the state was last known to match the log, in ms; undefined if it never has. */
  get ageMs(): number | undefined {
    return this.#currentAt === undefined ? undefined : this.timers.mono() - this.#currentAt;
  }

  /** Whether the replica has reached the end of its source at least once. */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /** Current state; callers must not modify it. */
  get state(): FleetState {
    return this.#state;
  }

  /** Adds a record listener, which is removed when the signal aborts. */
  subscribe(listener: FleetRecordListener, signal: AbortSignal): void {
    this.#listeners.add(listener);
    signal.addEventListener('abort', () => this.#listeners.delete(listener), { once: true });
  }

  /** Runs a check after each record and at a fixed interval in ms, until the signal aborts. */
  watch(intervalMs: number, check: () => void, signal: AbortSignal): void {
    this.subscribe(check, signal);
    this.timers.every(intervalMs, check, signal);
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const retrying = this.#retryPreferred(signal);
    signal.addEventListener(
      'abort',
      () => {
        this.#attemptController.abort();
      },
      { once: true },
    );
    while (!signal.aborted) {
      this.#attemptController = new AbortController();
      const attempt = this.#attemptController.signal;
      const source = this.#currentSource();
      const hasFailed = source === undefined || (await this.#readFrom(source, attempt));
      if (hasFailed && !attempt.aborted) {
        this.counters.sourceFailures += 1;
        this.#sourceIndex += 1;
        this.#failedAttempts += 1;
        await this.timers.sleep(this.settings.retryMs, signal);
      }
    }
    await retrying;
  }

  /**
   * Reads to the end of the stream with new calls. Returns true if a source whose own state is current
   * responded, or if at least half of the sources responded, as is possible during an outage of the log.
   */
  async refresh(signal: AbortSignal): Promise<boolean> {
    const sources = this.sources();
    let respondedCount = 0;
    for (const source of sources) {
      const last = await this.#readToEnd(source, signal);
      respondedCount += last === undefined ? 0 : 1;
      if (last !== undefined && !this.#isStale(last)) {
        return true;
      }
    }
    return respondedCount > 0 && 2 * respondedCount >= sources.length;
  }

  /** Resolves with the result of the next record with this id, or with undefined if the signal aborts first. */
  waitForResult(recordId: string, signal: AbortSignal): Promise<AppliedRecord | undefined> {
    return new Promise((resolve) => {
      const done = new AbortController();
      const finish = (applied: AppliedRecord | undefined): void => {
        done.abort();
        resolve(applied);
      };
      signal.addEventListener(
        'abort',
        () => {
          finish(undefined);
        },
        { once: true, signal: done.signal },
      );
      this.subscribe((entry, result) => {
        if (getRecordId(entry.value) === recordId) {
          finish({ offset: entry.offset, verdict: result });
        }
      }, done.signal);
    });
  }

  #currentSource(): FleetSource | undefined {
    const sources = this.sources();
    return sources[this.#sourceIndex % Math.max(1, sources.length)];
  }

  // Without this, controls that lost their connection to the log would keep following one another after the
  // log has recovered.
  async #retryPreferred(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.timers.sleep(this.settings.preferredMs, signal);
      const preferred = this.sources()[0];
      if (this.#isBootstrapped && preferred !== undefined && preferred !== this.#currentSource()) {
        await this.#tryPreferred(preferred, signal);
      }
    }
  }

  async #tryPreferred(preferred: FleetSource, signal: AbortSignal): Promise<void> {
    const page = await preferred.read(this.#state.next, 0, signal);
    const isContiguous = page.isOk() && this.#applyPage(page.value);
    if (page.isOk() ? isContiguous && !this.#isStale(page.value) : page.error.kind === 'trimmed') {
      this.#sourceIndex = 0;
      this.#attemptController.abort();
    }
  }

  // Returns the page that reached the source's end, or undefined if the source failed.
  async #readToEnd(source: FleetSource, signal: AbortSignal): Promise<LogPage | undefined> {
    for (;;) {
      const page = await source.read(this.#state.next, 0, signal);
      if (page.isErr()) {
        if (page.error.kind !== 'trimmed' || (await this.#bootstrap(source, signal))) {
          return undefined;
        }
        continue;
      }
      this.#applyPage(page.value);
      if (this.#state.next >= page.value.end) {
        return page.value;
      }
    }
  }

  // Returns whether another source should be tried.
  async #readFrom(source: FleetSource, signal: AbortSignal): Promise<boolean> {
    if (!this.#isBootstrapped) {
      return this.#bootstrap(source, signal);
    }
    const page = await source.read(this.#state.next, this.#caughtUp ? this.settings.waitMs : 0, signal);
    if (page.isErr()) {
      return page.error.kind === 'trimmed' ? this.#bootstrap(source, signal) : true;
    }
    return this.#applyPage(page.value) ? this.#isStale(page.value) : this.#bootstrap(source, signal);
  }

  async #bootstrap(source: FleetSource, signal: AbortSignal): Promise<boolean> {
    const [preferred, ...others] = this.sources();
    const candidates = source === preferred ? [source] : others;
    const results = await Promise.all(candidates.map((candidate) => candidate.bootstrap(signal)));
    const snapshots = results.filter((result) => result.isOk()).map((result) => result.value);
    if (snapshots.length === 0) {
      return true;
    }
    this.#isBootstrapped = true;
    for (const snapshot of snapshots) {
      this.#restoreIfNewer(snapshot);
    }
    return false;
  }

  #restoreIfNewer(snapshot: FleetSnapshot | undefined): void {
    if (snapshot === undefined) {
      return;
    }
    const restored = fromSnapshot(snapshot);
    if (restored.isErr()) {
      this.counters.unreadable += 1;
    } else if (restored.value.next > this.#state.next) {
      this.counters.restored += 1;
      this.#state = restored.value;
    }
  }

  #isStale(page: LogPage): boolean {
    return (page.sourceAgeMs ?? 0) > this.settings.maxSourceAgeMs;
  }

  // Returns false if records before the page are missing because they were trimmed while the read waited.
  #applyPage(page: LogPage): boolean {
    for (const entry of page.records) {
      if (entry.offset > this.#state.next) {
        return false;
      }
      this.#applyEntry(entry);
    }
    if (this.#state.next < page.end) {
      return true;
    }
    const currentAt = this.timers.mono() - (page.sourceAgeMs ?? 0);
    this.#currentAt = Math.max(currentAt, this.#currentAt ?? currentAt);
    // A stale source is accepted only after as many failed attempts as there are sources.
    this.#caughtUp ||= !this.#isStale(page) || this.#failedAttempts >= this.sources().length;
    return true;
  }

  #applyEntry(entry: LogEntry): void {
    // A stale peer may return records that have already been applied.
    if (entry.offset < this.#state.next) {
      return;
    }
    const result = applyFleetRecord(this.#state, entry.offset, entry.value);
    if (result.isOk()) {
      this.counters.applied += 1;
    } else if (result.error.reason === 'bad-record') {
      this.counters.unreadable += 1;
    } else {
      this.counters.refused += 1;
    }
    for (const listener of this.#listeners) {
      listener(entry, result);
    }
  }
}

/** Returns the id of an undecoded record, or undefined if it has none. */
export function getRecordId(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null || !('id' in value)) {
    return undefined;
  }
  return typeof value.id === 'string' ? value.id : undefined;
}
