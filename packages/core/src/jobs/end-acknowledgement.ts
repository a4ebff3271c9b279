import type { WorkerReport } from './worker-report';
import { LATE_ORDER_WINDOW_MS } from './late-order-window';

/** Acknowledgement of the ends of runs, for the incarnation of a worker that has listed them. */
export interface EndAcknowledgement {
  /** Start time of the incarnation, in ms since the epoch. */
  bornAt: number;
  /** Highest number of an end that is stored; the worker drops the ends up to it. */
  number: number;
  /** Monotonic time at which the request that carries it was made, in ms. */
  sentAt: number;
}

/** Acknowledgement without an answer. */
interface LateAcknowledgement extends EndAcknowledgement {
  /** Monotonic time from which on it is no longer carried out, in ms. */
  until: number;
}

/** Time for which orders may keep an acknowledgement waiting before the worker gets no others, in ms. */
const MAX_BLOCKED_MS = 2000;

/** Longest time for which an acknowledgement waits until the workers answer all calls, in ms. */
const MAX_DELAY_MS = 3000;

/**
 * Acknowledgement to a worker that may not have been carried out yet. No call names the incarnation that it is meant for,
 * and each numbers its ends from 1: one that carries out an acknowledgement for an earlier one drops its own ends unread.
 * So none is sent while a later incarnation may have begun a run, and no run is ordered while one is pending.
 */
export class PendingAcknowledgement {
  /** Monotonic time since which orders keep it waiting, in ms; undefined if none do. */
  #blockedSince: number | undefined;
  /** Monotonic time since which it is due and has not been sent, in ms; undefined if it is not due. */
  #dueSince: number | undefined;
  #inFlight: EndAcknowledgement | undefined;
  #late: LateAcknowledgement | undefined;

  /** Whether it has been sent and its outcome is not known yet. */
  get isInFlight(): boolean {
    return this.#inFlight !== undefined;
  }

  /** Whether an acknowledgement may still be carried out. */
  get isPending(): boolean {
    return this.isInFlight || this.#late !== undefined;
  }

  /** Records that one is being sent. */
  begin(sent: EndAcknowledgement): void {
    this.#inFlight = sent;
    this.cancel();
  }

  /** Records that the one in flight was carried out, or certainly will not be; returns it. */
  settle(): EndAcknowledgement | undefined {
    const sent = this.#inFlight;
    this.#inFlight = undefined;
    return sent;
  }

  /** Records that the one in flight got no answer until a monotonic time in ms; returns it. */
  lose(now: number): EndAcknowledgement | undefined {
    const sent = this.settle();
    this.#late = sent && { ...sent, until: now + LATE_ORDER_WINDOW_MS };
    return sent;
  }

  /** Forgets that one is due, for example because the worker has restarted. */
  cancel(): void {
    this.#blockedSince = undefined;
    this.#dueSince = undefined;
  }

  /** Records that orders keep one that is due waiting at a monotonic time in ms. */
  block(now: number): void {
    this.#blockedSince ??= now;
  }

  /** Whether the worker gets no orders until one can be sent; never at an infinite time, since that ends. */
  isBlocked(now: number): boolean {
    const blockedMs = now - (this.#blockedSince ?? now);
    return Number.isFinite(blockedMs) && blockedMs > MAX_BLOCKED_MS;
  }

  /**
   * Whether one that is due is sent at a monotonic time in ms. Without an answer it closes the worker, so it waits, for a
   * limited time, while calls get no answer.
   */
  isTimely(now: number, areCallsMissed: boolean): boolean {
    this.#dueSince ??= now;
    return !areCallsMissed || now - this.#dueSince > MAX_DELAY_MS;
  }

  /** Returns the time for which one without an answer may still be carried out, in ms; 0 if there is none. */
  lateForMs(now: number): number {
    return this.#late === undefined ? 0 : Math.max(0, this.#late.until - now);
  }

  /** Forgets one without an answer that is no longer carried out at a monotonic time in ms. */
  expire(now: number): void {
    if (this.lateForMs(now) === 0) {
      this.#late = undefined;
    }
  }

  /**
   * Applies a report that was requested after the answer was missed. Returns the acknowledgement without an answer if the
   * report shows that it was carried out: its incarnation no longer lists the ends.
   */
  applyReport({ bornAt, ended, hasMoreEnds }: WorkerReport): EndAcknowledgement | undefined {
    const late = this.#late;
    const isSettled =
      late?.bornAt === bornAt && hasMoreEnds !== true && ended.every(({ number }) => number > late.number);
    if (!isSettled) {
      return undefined;
    }
    this.#late = undefined;
    return late;
  }
}
