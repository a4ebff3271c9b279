import type { Claim, ClaimApplyResult, TaskApplyResult, TaskRecord, WorkRecord } from '@sequoiaquay/core';
import type { LogEntry, LogPage, LogService, PlatformError } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { ClaimTable, decodeRecord, TaskTable, workRecordSchema } from '@sequoiaquay/core';
import { MAX_READ_RECORDS, STREAM } from '@sequoiaquay/platform';

/** Listener that is called for each applied task record. */
export type TaskListener = (record: TaskRecord, result: TaskApplyResult) => void;

/** Settings of the work replica. Times in ms. */
export interface WorkReplicaSettings {
  /** Retention of finished tasks; defaults to `keyWindowMs`. */
  keepFinishedMs?: number;
  keyWindowMs: number;
  readWaitMs: number;
  retryDelayMs: number;
}

/** Maximum clock difference between two processes, in ms. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** Interval at which waiters check whether the replica is complete, in ms. */
const COMPLETE_CHECK_INTERVAL_MS = 50;

/** Follows the `work` stream of the log and applies its records to the claim and task tables. */
export class WorkReplica {
  #caughtUp = false;
  readonly claims: ClaimTable;
  readonly counters = { applied: 0, gaps: 0, readFailures: 0, unreadable: 0 };
  readonly #claimWaiters = new Map<string, (result: ClaimApplyResult | undefined) => void>();
  /** Wall-clock time after which no claim in trimmed records can still hold its key, in ms. */
  #gapUntil = 0;
  #isGapOpen = false;
  /** Number of the last read that reached the end of the stream; reads are numbered from 1. */
  #lastCompleteRead = 0;
  #nextOffset = 0;
  #readsStarted = 0;
  readonly #outcomeWaiters = new Map<string, Set<() => void>>();
  #unawaitedClaimHandler: (claim: Claim) => void = () => undefined;
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
   * Whether the replica has read the stream to its end and contains every claim that can still hold its key.
   * Records that were trimmed before they were read may contain such claims.
   */
  get isComplete(): boolean {
    return this.#caughtUp && !this.#isGapOpen && this.timers.now() >= this.#gapUntil;
  }

  /** Whether the replica has reached the end of the stream at least once. */
  get caughtUp(): boolean {
    return this.#caughtUp;
  }

  /** Offset of the next record to apply. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Calls a listener for each applied task record until the signal aborts. */
  onTask(listener: TaskListener, signal: AbortSignal): void {
    this.#taskListeners.add(listener);
    signal.addEventListener('abort', () => this.#taskListeners.delete(listener), { once: true });
  }

  /** Follows the stream until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#readsStarted += 1;
      const page = await this.log.read({
        from: this.#nextOffset,
        limit: MAX_READ_RECORDS,
        signal,
        stream: STREAM.work,
        waitMs: this.#caughtUp ? this.settings.readWaitMs : 0,
      });
      if (page.isOk()) {
        this.#applyPage(page.value);
        continue;
      }
      this.counters.readFailures += 1;
      if (!this.#skipTrimmed(page.error)) {
        await this.timers.sleep(this.settings.retryDelayMs, signal);
      }
    }
  }

  /** Sets the handler for a claim that holds its key although nothing in this process waits for it. */
  onUnawaitedClaim(handler: (claim: Claim) => void): void {
    this.#unawaitedClaimHandler = handler;
  }

  /** Waits for the result of applying a claim record; undefined if the signal aborts or records were missed. */
  whenClaimApplied(recordId: string, signal: AbortSignal): Promise<ClaimApplyResult | undefined> {
    return new Promise((resolve) => {
      const finish = (result: ClaimApplyResult | undefined): void => {
        this.#claimWaiters.delete(recordId);
        signal.removeEventListener('abort', abandon);
        resolve(result);
      };
      const abandon = (): void => {
        finish(undefined);
      };
      this.#claimWaiters.set(recordId, finish);
      signal.addEventListener('abort', abandon, { once: true });
    });
  }

  /** Waits until the replica is complete or the signal aborts. */
  async whenComplete(signal: AbortSignal): Promise<void> {
    while (!this.isComplete && !signal.aborted) {
      await this.timers.sleep(COMPLETE_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Waits until a read that starts after this call reaches the end of the stream or the signal aborts. */
  async whenReadToEnd(signal: AbortSignal): Promise<void> {
    const before = this.#readsStarted;
    while (this.#lastCompleteRead <= before && !signal.aborted) {
      await this.timers.sleep(COMPLETE_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Waits until a claim has an outcome or the signal aborts. */
  whenOutcomeKnown(claim: Claim, signal: AbortSignal): Promise<void> {
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
    // If the oldest offset is 0, no records have been trimmed.
    if (this.#nextOffset === 0 && page.oldest > 0) {
      this.#openGap();
    }
    for (const entry of page.records) {
      this.#apply(entry);
    }
    if (this.#nextOffset >= page.end) {
      this.#nextOffset = page.end;
      this.#caughtUp = true;
      this.#lastCompleteRead = this.#readsStarted;
      this.#closeGap(this.timers.now());
    }
  }

  #skipTrimmed(error: PlatformError): boolean {
    if (error.kind !== 'trimmed') {
      return false;
    }
    this.#nextOffset = error.oldest.unwrapOr(this.#nextOffset);
    this.tasks.resetTo(this.#nextOffset);
    this.#openGap();
    return true;
  }

  #openGap(): void {
    this.counters.gaps += 1;
    this.#isGapOpen = true;
    // Results after the gap could be wrong because claims in the gap were not read.
    for (const abandon of [...this.#claimWaiters.values()]) {
      abandon(undefined);
    }
  }

  // Trimmed claims are no newer than the first record read after the gap.
  #closeGap(firstAt: number): void {
    if (this.#isGapOpen) {
      this.#isGapOpen = false;
      this.#gapUntil = firstAt + 2 * this.settings.keyWindowMs + MAX_CLOCK_SKEW_MS;
    }
  }

  #apply(entry: LogEntry): void {
    this.#nextOffset = entry.offset + 1;
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
    const result = this.tasks.apply(offset, record);
    for (const listener of this.#taskListeners) {
      listener(record, result);
    }
  }

  #applyClaim(record: Extract<WorkRecord, { kind: 'claim' }>): void {
    const result = this.claims.applyClaim(record);
    const waiter = this.#claimWaiters.get(record.id);
    if (waiter !== undefined) {
      waiter(result);
      return;
    }
    const claim = this.claims.find(record.scope, record.key);
    if (result === 'held' && claim !== undefined) {
      this.#unawaitedClaimHandler(claim);
    }
  }
}
