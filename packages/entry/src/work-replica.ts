import type { Claim, ClaimApplyResult, TaskApplyResult, TaskRecord, WorkRecord } from '@sequoiaquay/core';
import type { LogEntry, LogPage, LogService, PlatformError } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { ClaimTable, decodeRecord, TaskTable, workRecordSchema } from '@sequoiaquay/core';
import { MAX_READ_RECORDS, STREAM } from '@sequoiaquay/platform';

/** Called for each record about a task that the replica has applied. */
export type TaskListener = (record: TaskRecord, verdict: TaskApplyResult) => void;

/** Settings of the work replica. Times in ms. */
export interface WorkReplicaSettings {
  /** Time for which a finished task is remembered; the key window unless given. */
  keepFinishedMs?: number;
  keyWindowMs: number;
  retryMs: number;
  waitMs: number;
}

/** Largest difference between two processes' clocks, in ms. */
const CLOCK_SKEW_MS = 60_000;

/** Period at which a waiter looks again whether the replica is complete, in ms. */
const COMPLETE_CHECK_MS = 50;

/** Follows the `work` stream of the log and folds its claims and tasks. */
export class WorkReplica {
  #caughtUp = false;
  readonly claims: ClaimTable;
  readonly counters = { applied: 0, gaps: 0, readFailures: 0, unreadable: 0 };
  readonly #claimWaiters = new Map<string, (verdict: ClaimApplyResult | undefined) => void>();
  /** Wall time from which no claim among trimmed records can still hold its key, in ms. */
  #gapUntil = 0;
  #gapOpen = false;
  /** Number of the last read that reached the end of the stream, counted from 1. */
  #lastWholeRead = 0;
  #next = 0;
  #readsStarted = 0;
  readonly #outcomeWaiters = new Map<string, Set<() => void>>();
  #unawaited: (claim: Claim) => void = () => undefined;
  readonly #taskListeners = new Set<TaskListener>();
  readonly tasks: TaskTable;

  constructor(
    private readonly log: LogService,
    private readonly settings: WorkReplicaSettings,
    private readonly timers: TimerService,
  ) {
    this.claims = new ClaimTable({ keyWindowMs: settings.keyWindowMs });
    this.tasks = new TaskTable({ keepFinishedMs: settings.keepFinishedMs ?? settings.keyWindowMs });
  }

  /**
   * Whether the replica has read the stream to its end and knows every claim that can still hold its key:
   * records that were trimmed before they were read may contain claims.
   */
  get complete(): boolean {
    return this.#caughtUp && !this.#gapOpen && this.timers.now() >= this.#gapUntil;
  }

  /** Whether the replica has read the stream to its end once. */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /** Offset of the next record to apply. */
  get next(): number {
    return this.#next;
  }

  /** Calls a listener for each record about a task until the signal aborts. */
  onTask(listener: TaskListener, signal: AbortSignal): void {
    this.#taskListeners.add(listener);
    signal.addEventListener('abort', () => this.#taskListeners.delete(listener), { once: true });
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#readsStarted += 1;
      const page = await this.log.read({
        from: this.#next,
        limit: MAX_READ_RECORDS,
        signal,
        stream: STREAM.work,
        waitMs: this.#caughtUp ? this.settings.waitMs : 0,
      });
      if (page.isOk()) {
        this.#applyPage(page.value);
        continue;
      }
      this.counters.readFailures += 1;
      if (!this.#skipTrimmed(page.error)) {
        await this.timers.sleep(this.settings.retryMs, signal);
      }
    }
  }

  /** Sets what is done with a claim that holds its key while nobody in this process waits for it. */
  onUnawaitedClaim(handler: (claim: Claim) => void): void {
    this.#unawaited = handler;
  }

  /** Waits for the verdict on a claim record; undefined when the signal aborts first. */
  verdictOf(recordId: string, signal: AbortSignal): Promise<ClaimApplyResult | undefined> {
    return new Promise((resolve) => {
      const finish = (verdict: ClaimApplyResult | undefined): void => {
        this.#claimWaiters.delete(recordId);
        signal.removeEventListener('abort', giveUp);
        resolve(verdict);
      };
      const giveUp = (): void => {
        finish(undefined);
      };
      this.#claimWaiters.set(recordId, finish);
      signal.addEventListener('abort', giveUp, { once: true });
    });
  }

  /** Waits until the replica is complete or the signal aborts. */
  async whenComplete(signal: AbortSignal): Promise<void> {
    while (!this.complete && !signal.aborted) {
      await this.timers.sleep(COMPLETE_CHECK_MS, signal);
    }
  }

  /** Waits until a read that begins from now on has reached the end of the stream, or the signal aborts. */
  async whenReadToEnd(signal: AbortSignal): Promise<void> {
    const before = this.#readsStarted;
    while (this.#lastWholeRead <= before && !signal.aborted) {
      await this.timers.sleep(COMPLETE_CHECK_MS, signal);
    }
  }

  /** Waits until a claim has an outcome or the signal aborts. */
  outcomeOf(claim: Claim, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.#outcomeWaiters.get(claim.id) ?? new Set();
      const finish = (): void => {
        waiters.delete(finish);
        if (waiters.size === 0) {
          this.#outcomeWaiters.delete(claim.id);
        }
        signal.removeEventListener('abort', finish);
        resolve();
      };
      waiters.add(finish);
      this.#outcomeWaiters.set(claim.id, waiters);
      signal.addEventListener('abort', finish, { once: true });
      if (claim.result !== undefined || signal.aborted) {
        finish();
      }
    });
  }

  #applyPage(page: LogPage): void {
    // Nothing was trimmed before the first record of a stream whose oldest offset is 0.
    if (this.#next === 0 && page.oldest > 0) {
      this.#openGap();
    }
    for (const entry of page.records) {
      this.#apply(entry);
    }
    if (this.#next >= page.end) {
      this.#next = page.end;
      this.#caughtUp = true;
      this.#lastWholeRead = this.#readsStarted;
      this.#closeGap(this.timers.now());
    }
  }

  #skipTrimmed(error: PlatformError): boolean {
    if (error.kind !== 'trimmed') {
      return false;
    }
    this.#next = error.oldest.unwrapOr(this.#next);
    this.tasks.resetTo(this.#next);
    this.#openGap();
    return true;
  }

  #openGap(): void {
    this.counters.gaps += 1;
    this.#gapOpen = true;
    // A verdict after the gap could rest on claims that were not read.
    for (const giveUp of [...this.#claimWaiters.values()]) {
      giveUp(undefined);
    }
  }

  // Trimmed claims are no younger than the first record read after them.
  #closeGap(firstAt: number): void {
    if (this.#gapOpen) {
      this.#gapOpen = false;
      this.#gapUntil = firstAt + 2 * this.settings.keyWindowMs + CLOCK_SKEW_MS;
    }
  }

  #apply(entry: LogEntry): void {
    this.#next = entry.offset + 1;
    const record = decodeRecord(workRecordSchema, entry.value);
    if (record.isErr()) {
      this.counters.unreadable += 1;
      return;
    }
    this.counters.applied += 1;
    this.#closeGap(record.value.at);
    this.#applyRecord(entry.offset, record.value);
  }

  #applyRecord(offset: number, record: WorkRecord): void {
    if (record.kind === 'claim') {
      this.#applyClaim(record);
      return;
    }
    if (record.kind === 'outcome') {
      this.claims.applyOutcome(record);
      for (const wake of this.#outcomeWaiters.get(record.claim) ?? []) {
        wake();
      }
      return;
    }
    const verdict = this.tasks.apply(offset, record);
    for (const listener of this.#taskListeners) {
      listener(record, verdict);
    }
  }

  #applyClaim(record: Extract<WorkRecord, { kind: 'claim' }>): void {
    const verdict = this.claims.applyClaim(record);
    const waiter = this.#claimWaiters.get(record.id);
    if (waiter !== undefined) {
      waiter(verdict);
      return;
    }
    const claim = this.claims.find(record.scope, record.key);
    if (verdict === 'held' && claim !== undefined) {
      this.#unawaited(claim);
    }
  }
}
