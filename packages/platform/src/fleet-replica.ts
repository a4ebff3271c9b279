import type { FleetRecord, FleetRefusal, FleetSnapshot, FleetState } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import { applyFleetRecord, emptyFleetState, fromSnapshot } from '@sequoiaquay/core';
import type { FleetSource } from './fleet-source';
import type { LogEntry, LogPage } from './log-client';

/** Verdict of the fold on one record. */
export type FleetApplyResult = Result<FleetRecord, FleetRefusal>;

/** Verdict on a record and the offset at which it was reached. */
export interface AppliedRecord {
  offset: number;
  verdict: FleetApplyResult;
}

/** Called for each record that the replica has applied. */
export type FleetRecordListener = (entry: LogEntry, verdict: FleetApplyResult) => void;

/** Settings of a fleet replica. Times in ms. */
export interface FleetReplicaSettings {
  /** Age of a relayed state above which another source is tried. */
  maxSourceAgeMs: number;
  /** Period at which the first source is tried again while another one is followed. */
  preferredMs: number;
  /** Pause after a source failed. */
  retryMs: number;
  /** Longest time that a read waits for a record. */
  waitMs: number;
}

/** Counters of a fleet replica. */
export interface FleetReplicaCounters {
  applied: number;
  refused: number;
  /** Times that a snapshot replaced the state. */
  restored: number;
  sourceFailures: number;
  unreadable: number;
}

/**
 * Replica of the fleet state: follows the `fleet` stream from the first source that answers, and returns
 * to the first source once that answers again. The state only ever moves forward in offset.
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

  /** Age of the state: time since it was known to be the log's, in ms; undefined before that. */
  get ageMs(): number | undefined {
    return this.#currentAt === undefined ? undefined : this.timers.mono() - this.#currentAt;
  }

  /** Whether the replica has reached the end of its source once. */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /** Current state; owned by the replica, read only for others. */
  get state(): FleetState {
    return this.#state;
  }

  /** Adds a listener for applied records until the signal aborts. */
  subscribe(listener: FleetRecordListener, signal: AbortSignal): void {
    this.#listeners.add(listener);
    signal.addEventListener('abort', () => this.#listeners.delete(listener), { once: true });
  }

  /** Runs a check after each applied record and in every period of `periodMs`, until the signal aborts. */
  watch(periodMs: number, check: () => void, signal: AbortSignal): void {
    this.subscribe(check, signal);
    this.timers.every(periodMs, check, signal);
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const watching = this.#retryPreferred(signal);
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
      const failed = source === undefined || (await this.#readFrom(source, attempt));
      if (failed && !attempt.aborted) {
        this.counters.sourceFailures += 1;
        this.#sourceIndex += 1;
        this.#failedAttempts += 1;
        await this.timers.sleep(this.settings.retryMs, signal);
      }
    }
    await watching;
  }

  /**
   * Reads to the end of the stream with calls that begin now. True when a source whose own state is current
   * answered, or, as in an outage of the log, when at least half of the sources did.
   */
  async refresh(signal: AbortSignal): Promise<boolean> {
    const sources = this.sources();
    let answered = 0;
    for (const source of sources) {
      const last = await this.#readToEnd(source, signal);
      answered += last === undefined ? 0 : 1;
      if (last !== undefined && !this.#isStale(last)) {
        return true;
      }
    }
    return answered > 0 && 2 * answered >= sources.length;
  }

  /** Waits for the verdict on a record; undefined when the signal aborts first. */
  waitForResult(recordId: string, signal: AbortSignal): Promise<AppliedRecord | undefined> {
    return new Promise((resolve) => {
      const done = new AbortController();
      const finish = (judged: AppliedRecord | undefined): void => {
        done.abort();
        resolve(judged);
      };
      signal.addEventListener(
        'abort',
        () => {
          finish(undefined);
        },
        { once: true, signal: done.signal },
      );
      this.subscribe((entry, verdict) => {
        if (getRecordId(entry.value) === recordId) {
          finish({ offset: entry.offset, verdict: verdict });
        }
      }, done.signal);
    });
  }

  #currentSource(): FleetSource | undefined {
    const sources = this.sources();
    return sources[this.#sourceIndex % Math.max(1, sources.length)];
  }

  // Without this, controls that lost the log would follow one another after the log is back.
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
    const whole = page.isOk() && this.#applyPage(page.value);
    if (page.isOk() ? whole && !this.#isStale(page.value) : page.error.kind === 'trimmed') {
      this.#sourceIndex = 0;
      this.#attemptController.abort();
    }
  }

  // Gives the page that reached the source's end.
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

  // Gives whether another source is to be tried.
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
    const asked = source === preferred ? [source] : others;
    const answers = await Promise.all(asked.map((candidate) => candidate.bootstrap(signal)));
    const states = answers.filter((answer) => answer.isOk()).map((answer) => answer.value);
    if (states.length === 0) {
      return true;
    }
    this.#isBootstrapped = true;
    for (const state of states) {
      this.#restoreIfNewer(state);
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

  // False when records before the page are missing: they were trimmed while the read waited.
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
    const contact = this.timers.mono() - (page.sourceAgeMs ?? 0);
    this.#currentAt = Math.max(contact, this.#currentAt ?? contact);
    // A stale source is only as good as any other once every source has been tried.
    this.#caughtUp ||= !this.#isStale(page) || this.#failedAttempts >= this.sources().length;
    return true;
  }

  #applyEntry(entry: LogEntry): void {
    // A stale peer may return records that were applied before.
    if (entry.offset < this.#state.next) {
      return;
    }
    const verdict = applyFleetRecord(this.#state, entry.offset, entry.value);
    if (verdict.isOk()) {
      this.counters.applied += 1;
    } else if (verdict.error.reason === 'bad-record') {
      this.counters.unreadable += 1;
    } else {
      this.counters.refused += 1;
    }
    for (const listener of this.#listeners) {
      listener(entry, verdict);
    }
  }
}

/** Id of a raw record, when it has one. */
export function getRecordId(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null || !('id' in value)) {
    return undefined;
  }
  return typeof value.id === 'string' ? value.id : undefined;
}
