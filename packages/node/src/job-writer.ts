import type { JobRecord, KeyedRecord, OwnAppendOutcome } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import {
  encodeJobRecord,
  FAST_APPEND_MS,
  isCallerRecord,
  JOB_RECORD,
  ProbeBackoff,
  SLOW_APPEND_MS,
} from '@sequoiaquay/core/jobs';
import type { BatchItem } from './append-batch';
import type { AppendLimits } from './append-limits';
import type { GroupCommit } from './group-commit';
import type { KeyedStream, StoreError } from './ports/keyed-stream';
import type { LeaderCallError, PeerOutcome, PeerRecord } from './ports/leader-link';
import { AdaptiveTimeout } from './adaptive-timeout';
import { takeBatch } from './append-batch';
import { MAX_APPEND_BYTES, NO_APPEND_LIMITS, sendAllowanceMs } from './append-limits';
import { MAX_CALL_BYTES, MAX_CALL_MS, MAX_CALL_RECORDS } from './peer-limits';
import { STORE_FAILURE } from './ports/keyed-stream';
import { LEADER_FAILURE, PEER_OUTCOME } from './ports/leader-link';
import { storedBytes } from './record-bytes';

/** Possible outcomes of writing a record. */
export const WRITE_OUTCOME = {
  /** Certainly not stored. */
  refused: 'refused',
  /** Certainly not stored, since the store does not take such a record. */
  rejected: 'rejected',
  stored: 'stored',
  /** Possibly stored: an append without an answer may have been carried out, or may still be. */
  unknown: 'unknown',
} as const;

/** Outcome of writing a record. */
export type WriteOutcome = (typeof WRITE_OUTCOME)[keyof typeof WRITE_OUTCOME];

interface PendingWrite extends BatchItem {
  /** Monotonic time after which the caller no longer waits, in ms. */
  callerDeadline: number;
  /** Monotonic time after which the writer stops trying, in ms. */
  deadline: number;
  /** Number of failed appends of the record. */
  failures: number;
  /** Whether this node appends the record itself next, since a call to the leader with it failed. */
  isOwnNext: boolean;
  /** Whether an append of the record had no answer. */
  isPossiblyStored: boolean;
  /** The record as it is sent to the leader; undefined if it must not or can't be. */
  peerRecord: PeerRecord | undefined;
  record: JobRecord;
  settle: (outcome: WriteOutcome) => void;
  /** The record as it is stored. */
  stored: readonly KeyedRecord[];
}

/** Longest time for which a caller waits for a write, in ms: it can retry on a node that reaches the store. */
const MAX_WRITE_WAIT_MS = 1000;

/** Number of refused appends after which a write for a caller fails. */
const MAX_REFUSALS = 2;

/** Interval between test writes while the store fails, in ms. */
const PROBE_INTERVAL_MS = 250;

/** Delay before a failed append is retried, in ms. */
const RETRY_DELAY_MS = 60;

/** Longest time allowed for sending a batch of several records, in ms. */
const MAX_SEND_ALLOWANCE_MS = 350;

/** Time for a record's own append after a call to the leader without an answer, in ms. */
const MIN_OWN_APPEND_MS = 500;

/** Least time that the caller must still wait for a record to be sent to the leader, in ms. */
const MIN_CALL_MS = 100;

/** Part of the bytes of a call for what is not a record. */
const CALL_OVERHEAD_BYTES = 1024;

/** Most bytes of the records of a call. */
const MAX_RECORDS_BYTES = MAX_CALL_BYTES - CALL_OVERHEAD_BYTES;

/**
 * Writes job records in batches, with one append in flight at a time. Failed appends are repeated, which is
 * safe because applying a job record twice has no effect. With group commit, the records of callers go to the
 * leader while the store is slow.
 */
export class JobWriter {
  #fastAppends = 0;
  #isWriting = false;
  readonly #appendTimeout = new AdaptiveTimeout();
  #isHealthy = true;
  readonly #queue: PendingWrite[] = [];
  #lastAppendAt = -Infinity;
  readonly #probes = new ProbeBackoff();

  constructor(
    private readonly stream: KeyedStream,
    private readonly onStored: (record: JobRecord) => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
    private readonly limits: AppendLimits = NO_APPEND_LIMITS,
    private readonly group?: GroupCommit,
  ) {}

  /** Number of own appends in a row, up to the last one, that were fast. */
  get fastAppends(): number {
    return this.#fastAppends;
  }

  /**
   * Returns whether a write is likely to succeed. After a failure, only one write per probe interval is
   * let through, and only if the store can be read.
   */
  isLikelyToSucceed(canRead: boolean): boolean {
    if (this.#isHealthy || this.group?.usesLeader() === true) {
      return true;
    }
    const intervalMs = this.group === undefined ? PROBE_INTERVAL_MS : this.#probes.intervalMs;
    return canRead && this.timers.mono() - this.#lastAppendAt > intervalMs;
  }

  /**
   * Writes a record for a caller, and retries until a monotonic time in ms, but not longer than a caller
   * waits. Returns `refused` soon if the record is certainly not stored, `rejected` if the store takes no such record,
   * and `unknown` only at the deadline.
   */
  write(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#enqueue(record, deadline, false);
  }

  /** Writes a record, and retries through outages until a monotonic time in ms. */
  writePersistently(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    return this.#enqueue(record, deadline, true);
  }

  /**
   * Writes a record of another node, and retries until a monotonic time in ms. A record that no append contains by
   * then is withdrawn and `refused`, so that it is certainly not stored; one in an append settles with that.
   */
  writeForPeer(record: JobRecord, deadline: number): Promise<WriteOutcome> {
    const withdrawal = new AbortController();
    const written = this.#enqueue(record, deadline, true);
    const item = this.#queue.find((queued) => queued.record === record);
    const withdraw = (): void => {
      if (item !== undefined && this.#queue.includes(item)) {
        this.#removeFromQueue([item]);
        this.#settle(item, item.isPossiblyStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.refused, 'own');
      }
    };
    this.timers.after(deadline - this.timers.mono(), withdraw, withdrawal.signal);
    return written.finally(() => {
      withdrawal.abort();
    });
  }

  #enqueue(record: JobRecord, callerDeadline: number, isPersistent: boolean): Promise<WriteOutcome> {
    const stored = encodeJobRecord(record);
    if (this.#exceedsLimits(stored)) {
      return Promise.resolve(WRITE_OUTCOME.rejected);
    }
    const maxDeadline = isPersistent ? Infinity : this.timers.mono() + MAX_WRITE_WAIT_MS;
    return new Promise((resolve) => {
      this.#queue.push({
        bytes: storedBytes(stored),
        callerDeadline,
        deadline: Math.min(callerDeadline, maxDeadline),
        failures: 0,
        isAlone: false,
        isOwnNext: false,
        isPassedOver: false,
        isPersistent,
        isPossiblyStored: false,
        peerRecord: this.group === undefined || isPersistent ? undefined : toPeerRecord(record, stored),
        record,
        settle: resolve,
        stored,
      });
      this.#dispatch();
    });
  }

  #dispatch(): void {
    this.#forwardWaiting();
    if (!this.#isWriting && this.#queue.some((item) => !this.#waitsForLeader(item))) {
      this.#isWriting = true;
      void this.#drainQueue();
    }
  }

  #waitsForLeader(item: PendingWrite): boolean {
    return (
      item.peerRecord !== undefined &&
      !item.isAlone &&
      !item.isOwnNext &&
      item.callerDeadline - this.timers.mono() >= MIN_CALL_MS &&
      this.group?.usesLeader() === true
    );
  }

  #forwardWaiting(): void {
    const { group } = this;
    while (group?.hasFreeCall === true && group.usesLeader()) {
      const batch = this.#dequeueForLeader();
      if (batch.length === 0) {
        return;
      }
      void this.#forward(group, batch);
    }
  }

  #dequeueForLeader(): PendingWrite[] {
    const batch: PendingWrite[] = [];
    let bytes = 0;
    for (const item of this.#queue) {
      if (item.peerRecord !== undefined && this.#waitsForLeader(item)) {
        bytes += peerBytes(item.peerRecord);
        if (bytes > MAX_RECORDS_BYTES || batch.length >= MAX_CALL_RECORDS) {
          break;
        }
        batch.push(item);
      }
    }
    this.#removeFromQueue(batch);
    return batch;
  }

  #removeFromQueue(batch: readonly PendingWrite[]): void {
    const removed = new Set(batch);
    const kept = this.#queue.filter((item) => !removed.has(item));
    this.#queue.splice(0, this.#queue.length, ...kept);
  }

  async #forward(group: GroupCommit, batch: readonly PendingWrite[]): Promise<void> {
    const callerDeadline = Math.max(...batch.map((item) => item.callerDeadline));
    const limitMs = Math.min(MAX_CALL_MS, callerDeadline - this.timers.mono());
    const records = batch.flatMap(({ peerRecord }) => (peerRecord === undefined ? [] : [peerRecord]));
    const answer = await group.forward(records, limitMs, this.signal);
    answer.match(
      ({ outcomes }) => {
        for (const [index, item] of batch.entries()) {
          this.#onPeerOutcome(item, outcomes[index] ?? PEER_OUTCOME.unknown);
        }
        if (!group.isStoreSlow) {
          this.#updateHealth(true, '');
        }
      },
      (error) => {
        this.#onForwardFailure(batch, error);
      },
    );
    this.#settleExpired();
    this.#dispatch();
  }

  #onPeerOutcome(item: PendingWrite, outcome: PeerOutcome): void {
    item.isPossiblyStored ||= outcome === PEER_OUTCOME.unknown;
    const mayRepeat = outcome === PEER_OUTCOME.unknown || outcome === PEER_OUTCOME.refused;
    if (mayRepeat && item.callerDeadline - this.timers.mono() >= MIN_CALL_MS) {
      this.#queue.unshift(item);
      return;
    }
    if (outcome === PEER_OUTCOME.stored) {
      this.onStored(item.record);
    }
    const settled = outcome === PEER_OUTCOME.full ? WRITE_OUTCOME.refused : outcome;
    const isCertain = settled === WRITE_OUTCOME.stored || !item.isPossiblyStored;
    this.#settle(item, isCertain ? settled : WRITE_OUTCOME.unknown, 'leader');
  }

  #onForwardFailure(batch: readonly PendingWrite[], error: LeaderCallError): void {
    if (error.kind === LEADER_FAILURE.busy) {
      for (const item of batch) {
        this.#onPeerOutcome(item, PEER_OUTCOME.full);
      }
      return;
    }
    const ownDeadline = this.timers.mono() + MIN_OWN_APPEND_MS;
    for (const item of batch) {
      item.isOwnNext = true;
      // At least one own append follows, also after two refusals of the store.
      item.failures = Math.min(item.failures, MAX_REFUSALS - 1);
      item.isPossiblyStored ||= error.kind === LEADER_FAILURE.lost;
      item.deadline = Math.min(item.callerDeadline, Math.max(item.deadline, ownDeadline));
    }
    this.#queue.unshift(...batch);
  }

  #settle(item: PendingWrite, outcome: WriteOutcome, path: 'leader' | 'own'): void {
    this.group?.countRecord(path, outcome);
    item.settle(outcome);
  }

  #exceedsLimits(stored: readonly KeyedRecord[]): boolean {
    const { callBytes, recordBytes } = this.limits;
    return storedBytes(stored) > callBytes || stored.some((record) => storedBytes([record]) > recordBytes);
  }

  async #drainQueue(): Promise<void> {
    while (!this.signal.aborted) {
      const batch = this.#dequeueBatch();
      if (batch.length === 0) {
        break;
      }
      const unstored = await this.#append(batch);
      if (unstored.length > 0) {
        this.#queue.unshift(...unstored);
        this.#forwardWaiting();
        await this.timers.sleep(this.group?.retryDelayMs(RETRY_DELAY_MS) ?? RETRY_DELAY_MS, this.signal);
        this.#settleExpired();
      }
      this.#settlePassedOver();
    }
    this.#isWriting = false;
  }

  #dequeueBatch(): PendingWrite[] {
    if (this.#queue.length > 0) {
      this.group?.beatIfSlow();
    }
    this.#queue.sort((a, b) => Number(isHeartbeat(b.record)) - Number(isHeartbeat(a.record)));
    const waiting =
      this.group === undefined ? this.#queue : this.#queue.filter((item) => !this.#waitsForLeader(item));
    const maxBytes = Math.min(this.group?.maxAppendBytes ?? MAX_APPEND_BYTES, this.limits.callBytes);
    const batch = takeBatch(waiting, maxBytes);
    this.#removeFromQueue(batch);
    return batch;
  }

  // Returns the writes to retry.
  async #append(batch: PendingWrite[]): Promise<PendingWrite[]> {
    const startedAt = this.timers.mono();
    this.#lastAppendAt = startedAt;
    const records = batch.flatMap((item) => item.stored);
    const inFlight = this.#watchAppend();
    const usualMs = this.#appendTimeout.currentMs + this.#sendAllowanceMs(batch, records);
    const appended = await this.stream.append({
      timeoutMs: this.group?.appendTimeoutMs(usualMs) ?? usualMs,
      records,
      signal: this.signal,
    });
    inFlight.abort();
    const durationMs = this.timers.mono() - startedAt;
    this.group?.onOwnAppend(toAppendOutcome(appended.isErr() ? appended.error : undefined), durationMs);
    this.#fastAppends = appended.isOk() && durationMs < FAST_APPEND_MS ? this.#fastAppends + 1 : 0;
    if (appended.isOk()) {
      this.#appendTimeout.recordResponse(durationMs);
      this.#updateHealth(true, '');
      for (const item of batch) {
        this.onStored(item.record);
        this.#settle(item, WRITE_OUTCOME.stored, 'own');
      }
      return [];
    }
    if (appended.error.kind === STORE_FAILURE.rejected) {
      return this.#onRejected(batch, appended.error.message);
    }
    this.#updateHealth(false, appended.error.message);
    for (const item of batch) {
      item.failures += 1;
      item.isOwnNext = false;
    }
    if (appended.error.kind === STORE_FAILURE.lost) {
      this.#appendTimeout.recordTimeout();
      for (const item of batch) {
        item.isPossiblyStored = true;
      }
    }
    return batch;
  }

  // New records need not wait for the end of an append that is already known to be slow.
  #watchAppend(): AbortController {
    const inFlight = new AbortController();
    const { group } = this;
    if (group !== undefined) {
      const onSlow = (): void => {
        group.onOwnAppend('in-flight', SLOW_APPEND_MS);
        this.#forwardWaiting();
      };
      this.timers.after(SLOW_APPEND_MS, onSlow, inFlight.signal);
    }
    return inFlight;
  }

  // A batch that is larger than usual is no larger than the link carries in a time below this allowance.
  #sendAllowanceMs(batch: readonly PendingWrite[], records: readonly KeyedRecord[]): number {
    const allowanceMs = sendAllowanceMs(records);
    return this.group === undefined || batch.length === 1
      ? allowanceMs
      : Math.min(allowanceMs, MAX_SEND_ALLOWANCE_MS);
  }

  // The other records of the batch may be taken.
  #onRejected(batch: PendingWrite[], error: string): PendingWrite[] {
    const [first] = batch;
    if (batch.length > 1 || first === undefined) {
      for (const item of batch) {
        item.isAlone = true;
      }
      return batch;
    }
    this.log.error({ bytes: first.bytes, error, kind: first.record.kind }, 'record rejected by the store');
    this.#settle(first, first.isPossiblyStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.rejected, 'own');
    return [];
  }

  // While appends take longer than the interval of the heartbeats, each contains one, and a large record has no turn.
  #settlePassedOver(): void {
    const now = this.timers.mono();
    this.#settleUnstored((item) => item.isPassedOver && item.deadline <= now);
  }

  #settleExpired(): void {
    const now = this.timers.mono();
    this.#settleUnstored((item) => this.#isExpired(item, now));
  }

  #settleUnstored(isDue: (item: PendingWrite) => boolean): void {
    for (const item of this.#queue.filter(isDue)) {
      this.#queue.splice(this.#queue.indexOf(item), 1);
      this.#settle(item, item.isPossiblyStored ? WRITE_OUTCOME.unknown : WRITE_OUTCOME.refused, 'own');
    }
  }

  #isExpired(item: PendingWrite, now: number): boolean {
    if (this.#waitsForLeader(item)) {
      return item.callerDeadline <= now;
    }
    const isRefused = !item.isPersistent && !item.isPossiblyStored && item.failures >= MAX_REFUSALS;
    return item.deadline <= now || isRefused;
  }

  #updateHealth(isHealthy: boolean, error: string): void {
    if (isHealthy) {
      this.#probes.onSuccess();
    } else if (this.group !== undefined) {
      this.#probes.onFailure(this.timers.mono(), Math.random());
    }
    if (this.#isHealthy !== isHealthy) {
      this.#isHealthy = isHealthy;
      this.log.info(
        { error, healthy: isHealthy },
        isHealthy ? 'job stream accepts records' : 'job stream accepts no records',
      );
    }
  }
}

// A heartbeat goes ahead of records that wait. A release keeps its place behind the last records of a term.
function isHeartbeat(record: JobRecord): boolean {
  return record.kind === JOB_RECORD.leader && !record.released;
}

// Records of the leadership and of a term are never sent to another node.
function toPeerRecord(record: JobRecord, stored: readonly KeyedRecord[]): PeerRecord | undefined {
  const [first] = stored;
  if (!isCallerRecord(record) || first?.value === undefined) {
    return undefined;
  }
  const peerRecord = { key: first.key, value: first.value };
  return peerBytes(peerRecord) > MAX_RECORDS_BYTES ? undefined : peerRecord;
}

function peerBytes(record: PeerRecord): number {
  return Buffer.byteLength(JSON.stringify(record)) + 1;
}

function toAppendOutcome(error: StoreError | undefined): OwnAppendOutcome {
  switch (error?.kind) {
    case STORE_FAILURE.lost:
      return 'lost';
    case STORE_FAILURE.refused:
      return 'refused';
    default:
      return 'done';
  }
}
