import type { Claim, ClaimVerdict, TaskRecord, TaskVerdict, WorkRecord } from '@sequoiaquay/core';
import type { LogEntry, LogService } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { ClaimTable, decodeRecord, TaskTable, workRecordSchema } from '@sequoiaquay/core';
import { READ_LIMIT, STREAM } from '@sequoiaquay/platform';

/** Called for each record about a task that the replica has applied. */
export type TaskListener = (record: TaskRecord, verdict: TaskVerdict) => void;

/** Settings of the work replica. Times in ms. */
export interface WorkReplicaSettings {
  /** Time for which a finished task is remembered; the key window unless given. */
  keepFinishedMs?: number;
  keyWindowMs: number;
  retryMs: number;
  waitMs: number;
}

/** Follows the `work` stream of the log and folds its claims and tasks. */
export class WorkReplica {
  #caughtUp = false;
  readonly claims: ClaimTable;
  readonly counters = { applied: 0, readFailures: 0, unreadable: 0 };
  readonly #claimWaiters = new Map<string, (verdict: ClaimVerdict) => void>();
  #next = 0;
  readonly #outcomeWaiters = new Map<string, Set<() => void>>();
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

  /** Whether the replica has read the stream to its end once, so that it knows every claim. */
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
      const page = await this.log.read({
        from: this.#next,
        limit: READ_LIMIT,
        signal,
        stream: STREAM.work,
        waitMs: this.#caughtUp ? this.settings.waitMs : 0,
      });
      if (page.isOk()) {
        for (const entry of page.value.records) {
          this.#apply(entry);
        }
        this.#caughtUp ||= this.#next >= page.value.end;
        continue;
      }
      this.counters.readFailures += 1;
      if (page.error.kind === 'trimmed') {
        this.#next = page.error.oldest.unwrapOr(this.#next);
        this.tasks.restart(this.#next);
        continue;
      }
      await this.timers.sleep(this.settings.retryMs, signal);
    }
  }

  /** Waits for the verdict on a claim record; undefined when the signal aborts first. */
  verdictOf(recordId: string, signal: AbortSignal): Promise<ClaimVerdict | undefined> {
    return new Promise((resolve) => {
      const finish = (verdict: ClaimVerdict | undefined): void => {
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

  #apply(entry: LogEntry): void {
    this.#next = entry.offset + 1;
    const record = decodeRecord(workRecordSchema, entry.value);
    if (record.isErr()) {
      this.counters.unreadable += 1;
      return;
    }
    this.counters.applied += 1;
    this.#applyRecord(entry.offset, record.value);
  }

  #applyRecord(offset: number, record: WorkRecord): void {
    if (record.kind === 'claim') {
      const verdict = this.claims.applyClaim(record);
      this.#claimWaiters.get(record.id)?.(verdict);
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
}
