import type { Worker } from '../jobs/worker';
import type { VmInfo } from './wave';
import { VM_STATE } from './wave';
import { LATE_VM_ORDER_WINDOW_MS, WorkerIncarnation } from './worker-incarnation';

/** Order to move a VM to another pool. */
export interface MoveOrder {
  pool: string;
  vm: string;
}

/**
 * Answers to an order to move a VM. An order that was not sent, or for which there were too many calls (`limited`), has
 * certainly not been carried out.
 */
export type MoveAnswer = 'busy' | 'limited' | 'moved' | 'refused' | 'unknown' | 'unsent';

/** Time after which a moved VM that hasn't arrived is no longer expected, in ms. */
const MOVE_TIMEOUT_MS = 6000;

/** Time after which an order without a clear answer is repeated, in ms. Repeating an order is harmless. */
const ORDER_RETRY_MS = 500;

/**
 * Time after the first order at which a move without a clear answer is withdrawn, in ms. Its worker gets no tasks
 * until then, which must be shorter than the 3 s that a task may wait while there is room for it.
 */
export const MOVE_DECISION_LIMIT_MS = 2000;

/** Time after a refusal for which a VM isn't ordered to move to the same pool, in ms. */
const REFUSAL_BACKOFF_MS = 10_000;

/** Time for which a busy VM isn't ordered to move, in ms. It may have been listed as up shortly before. */
const BUSY_BACKOFF_MS = 1500;

/** Time after a withdrawal for which a VM isn't ordered to move, in ms, so that its worker can be assigned tasks. */
const WITHDRAWAL_BACKOFF_MS = 1000;

/** Estimated duration of a move before one has been observed, in ms. */
const INITIAL_MOVE_DURATION_MS = 2000;

/** Weight of the newest move in the moving average of move durations. */
const NEWEST_MOVE_WEIGHT = 0.1;

/** Stages of a move: a withdrawn one is no longer ordered, but an earlier order may still be carried out. */
type MoveStage = 'moved' | 'ordered' | 'withdrawn';

/** Move of a VM, as far as answers have decided it. */
export interface VmMove {
  readonly from: string;
  /** Monotonic time until which an order without an answer may still be carried out, in ms. */
  readonly lateUntil: number;
  readonly stage: MoveStage;
  /** Worker that ran on the VM when the move was first ordered; undefined if there was none. */
  readonly worker: WorkerIncarnation | undefined;
}

interface TrackedMove extends MoveOrder, VmMove {
  /** Whether an order may be under way. */
  isOutstanding: boolean;
  /** Whether it is only assumed that an order was sent, since it had no outcome when the move was withdrawn. */
  isSendingAssumed: boolean;
  lateUntil: number;
  /** Monotonic time before which a withdrawn move is not ordered again, in ms. */
  notBefore: number;
  orderedAt: number;
  /** Monotonic time of the last order, or of the answer that the VM moved, in ms. */
  since: number;
  stage: MoveStage;
}

/** Tracks the VMs that are being moved from one pool to another. */
export class VmMoves {
  readonly #busyUntil = new Map<string, number>();
  #moveDurationMs = INITIAL_MOVE_DURATION_MS;
  readonly #moves = new Map<string, TrackedMove>();
  /** Monotonic times up to which pools are not tried for a VM, in ms, by VM and pool. */
  readonly #refusedUntil = new Map<string, Map<string, number>>();

  /** Average time from an order until the VM's worker is registered in its new pool, in ms. */
  get moveDurationMs(): number {
    return this.#moveDurationMs;
  }

  /** Number of VMs that are being moved to a pool. */
  arrivingCount(pool: string): number {
    return [...this.#moves.values()].filter((move) => move.pool === pool && move.stage !== 'withdrawn')
      .length;
  }

  /** Whether a VM is being moved to a pool. */
  isArriving(vm: VmInfo, pool: string): boolean {
    const move = this.#moves.get(vm.id);
    return move?.pool === pool && move.stage !== 'withdrawn';
  }

  /** Monotonic time at which a VM that is being moved to a pool is expected there, in ms; undefined if it is not. */
  expectedAt(vm: VmInfo, pool: string): number | undefined {
    const move = this.#moves.get(vm.id);
    return move !== undefined && this.isArriving(vm, pool)
      ? move.orderedAt + this.#moveDurationMs
      : undefined;
  }

  /** Whether a VM may be ordered to move at a monotonic time. */
  canMove(vm: VmInfo, now: number): boolean {
    const move = this.#moves.get(vm.id);
    const isFree = move === undefined || (move.stage === 'withdrawn' && move.notBefore <= now);
    const isBusy = (this.#busyUntil.get(vm.id) ?? 0) > now;
    return vm.state === VM_STATE.up && isFree && !isBusy;
  }

  /**
   * Whether a VM may be ordered to move to a pool at a monotonic time: no order for a different pool may still be
   * carried out after it, and its move to the pool has not been refused lately.
   */
  canMoveTo(vm: VmInfo, pool: string, now: number): boolean {
    const move = this.#moves.get(vm.id);
    const isDecided = move === undefined || move.pool === pool || move.lateUntil <= now;
    return isDecided && (this.#refusedUntil.get(vm.id)?.get(pool) ?? 0) <= now;
  }

  /** Whether an order still has to be sent at a monotonic time. */
  isWanted(order: MoveOrder, now: number): boolean {
    const move = this.#moves.get(order.vm);
    return (
      move?.pool === order.pool && move.stage === 'ordered' && now - move.orderedAt < MOVE_DECISION_LIMIT_MS
    );
  }

  /** Records the start of a move at a monotonic time and returns the order for it. */
  start(vm: VmInfo, pool: string, worker: Worker | undefined, now: number): MoveOrder {
    this.#moves.set(vm.id, {
      from: vm.pool,
      isOutstanding: true,
      isSendingAssumed: false,
      lateUntil: this.#moves.get(vm.id)?.lateUntil ?? -Infinity,
      notBefore: 0,
      orderedAt: now,
      pool,
      since: now,
      stage: 'ordered',
      vm: vm.id,
      worker: worker === undefined ? undefined : new WorkerIncarnation(worker),
    });
    return { pool, vm: vm.id };
  }

  /** Records the answer to an order and returns its move; undefined for an order whose move is over. */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): VmMove | undefined {
    const move = this.#moves.get(order.vm);
    if (move?.pool !== order.pool || move.stage === 'moved') {
      return undefined;
    }
    move.isOutstanding = false;
    if (answer === 'moved') {
      move.stage = 'moved';
      move.since = now;
    } else if (answer === 'unknown') {
      move.isSendingAssumed = false;
      move.lateUntil = now + LATE_VM_ORDER_WINDOW_MS;
    } else if (move.stage === 'withdrawn') {
      this.#correctAssumption(move, now);
    } else if (answer === 'busy' || answer === 'refused') {
      this.#backOff(order, answer, now);
      this.#withdraw(move, now);
    } else if (answer === 'unsent' && move.lateUntil <= now) {
      this.#withdraw(move, now);
    }
    return move;
  }

  /**
   * Ends the moves of VMs that have arrived, or that are up in another pool than ordered.
   *
   * @param vms - The VM list.
   * @param requestedAt - Monotonic time at which the list was requested, in ms.
   * @param hasWorker - Whether the worker of a VM is registered.
   */
  onVms(vms: readonly VmInfo[], requestedAt: number, hasWorker: (vm: VmInfo) => boolean): void {
    for (const vm of vms) {
      const move = this.#moves.get(vm.id);
      const isUp = move?.stage === 'moved' && requestedAt > move.since && vm.state === VM_STATE.up;
      if (isUp && vm.pool === move.pool && hasWorker(vm)) {
        this.#moveDurationMs += NEWEST_MOVE_WEIGHT * (requestedAt - move.orderedAt - this.#moveDurationMs);
      }
      if (isUp && (vm.pool !== move.pool || hasWorker(vm))) {
        this.#moves.delete(vm.id);
      }
      // An order that was carried out late: its repetitions change nothing more.
      if (move?.stage === 'withdrawn' && requestedAt > move.since && vm.pool === move.pool) {
        this.#moves.delete(vm.id);
      }
    }
  }

  /** Returns the orders to repeat, and stops tracking VMs that didn't arrive in time. */
  ordersToRepeat(now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    for (const [vm, move] of this.#moves) {
      if (move.stage === 'ordered' && now - move.since > ORDER_RETRY_MS) {
        move.since = now;
        move.isOutstanding = true;
        orders.push({ pool: move.pool, vm });
      } else if (move.stage === 'moved' && now - move.since > MOVE_TIMEOUT_MS) {
        this.#moves.delete(vm);
      } else if (move.stage === 'withdrawn' && move.lateUntil <= now && move.notBefore <= now) {
        this.#moves.delete(vm);
      }
    }
    return orders;
  }

  /** Withdraws the moves that have got no clear answer in time, and returns them. */
  withdrawUndecided(now: number): VmMove[] {
    const undecided = [...this.#moves.values()].filter(
      (move) => move.stage === 'ordered' && now - move.orderedAt >= MOVE_DECISION_LIMIT_MS,
    );
    for (const move of undecided) {
      if (move.isOutstanding && move.lateUntil <= now) {
        move.isSendingAssumed = true;
        move.lateUntil = now + LATE_VM_ORDER_WINDOW_MS;
      }
      this.#withdraw(move, now);
    }
    return undecided;
  }

  #backOff({ pool, vm }: MoveOrder, answer: 'busy' | 'refused', now: number): void {
    if (answer === 'busy') {
      this.#busyUntil.set(vm, now + BUSY_BACKOFF_MS);
      return;
    }
    const refusals = this.#refusedUntil.get(vm) ?? new Map<string, number>();
    refusals.set(pool, now + REFUSAL_BACKOFF_MS);
    this.#refusedUntil.set(vm, refusals);
  }

  #correctAssumption(move: TrackedMove, now: number): void {
    if (move.isSendingAssumed) {
      move.isSendingAssumed = false;
      move.lateUntil = now;
    }
  }

  #withdraw(move: TrackedMove, now: number): void {
    move.stage = 'withdrawn';
    move.since = now;
    move.notBefore = now + WITHDRAWAL_BACKOFF_MS;
  }
}
