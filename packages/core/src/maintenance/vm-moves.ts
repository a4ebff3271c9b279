import type { Worker } from '../jobs/worker';
import type { VmInfo } from './wave';
import { VM_STATE } from './wave';
import { LATE_VM_ORDER_WINDOW_MS, WorkerIncarnation } from './worker-incarnation';

/** Order to move a VM to another pool. */
export interface MoveOrder {
  pool: string;
  vm: string;
}

/** Answers to an order to move a VM. */
export type MoveAnswer = 'moved' | 'refused' | 'unknown';

/** Time after which a moved VM that hasn't arrived is no longer expected, in ms. */
const MOVE_TIMEOUT_MS = 6000;

/** Time after which an order without a clear answer is repeated, in ms. Repeating an order is harmless. */
const ORDER_RETRY_MS = 500;

/** Time after a refusal for which a VM isn't ordered to move, in ms. */
const REFUSAL_BACKOFF_MS = 10_000;

/** Estimated duration of a move before one has been observed, in ms. */
const INITIAL_MOVE_DURATION_MS = 2000;

/** Weight of the newest move in the moving average of move durations. */
const NEWEST_MOVE_WEIGHT = 0.1;

/** Move of a VM that an answer decided. */
export interface AnsweredMove {
  from: string;
  /** Worker that ran on the VM when the move was first ordered; undefined if there was none. */
  worker: WorkerIncarnation | undefined;
}

interface PendingMove extends AnsweredMove, MoveOrder {
  orderedAt: number;
  /** Monotonic time of the last order, or of the answer that the VM moved, in ms. */
  since: number;
  stage: 'moved' | 'ordered';
  /** Monotonic time at which an order was last given up without an answer, in ms. */
  unansweredAt: number;
}

/** Tracks the VMs that are being moved from one pool to another. */
export class VmMoves {
  readonly #backoffUntil = new Map<string, number>();
  #moveDurationMs = INITIAL_MOVE_DURATION_MS;
  readonly #moves = new Map<string, PendingMove>();

  /** Average time from an order until the VM's worker is registered in its new pool, in ms. */
  get moveDurationMs(): number {
    return this.#moveDurationMs;
  }

  /** Number of VMs that are being moved to a pool. */
  arrivingCount(pool: string): number {
    return [...this.#moves.values()].filter((move) => move.pool === pool).length;
  }

  /** Whether a VM is being moved to a pool. */
  isArriving(vm: VmInfo, pool: string): boolean {
    return this.#moves.get(vm.id)?.pool === pool;
  }

  /** Whether a VM may be ordered to move at a monotonic time. */
  canMove(vm: VmInfo, now: number): boolean {
    const isBackingOff = (this.#backoffUntil.get(vm.id) ?? 0) > now;
    return vm.state === VM_STATE.up && !this.#moves.has(vm.id) && !isBackingOff;
  }

  /** Records the start of a move at a monotonic time and returns the order for it. */
  start(vm: VmInfo, pool: string, worker: Worker | undefined, now: number): MoveOrder {
    this.#moves.set(vm.id, {
      from: vm.pool,
      orderedAt: now,
      pool,
      since: now,
      stage: 'ordered',
      unansweredAt: -Infinity,
      vm: vm.id,
      worker: worker === undefined ? undefined : new WorkerIncarnation(worker),
    });
    return { pool, vm: vm.id };
  }

  /**
   * Records the answer to an order. Returns the move that it decided; undefined for an unknown order, and for
   * a refusal while an earlier order without an answer may still be carried out.
   */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): AnsweredMove | undefined {
    const move = this.#moves.get(order.vm);
    if (move?.pool !== order.pool || move.stage === 'moved') {
      return undefined;
    }
    if (answer === 'unknown') {
      move.unansweredAt = now;
    } else if (answer === 'moved') {
      move.stage = 'moved';
      move.since = now;
    } else if (now - move.unansweredAt < LATE_VM_ORDER_WINDOW_MS) {
      return undefined;
    } else {
      this.#moves.delete(order.vm);
      this.#backoffUntil.set(order.vm, now + REFUSAL_BACKOFF_MS);
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
    }
  }

  /** Returns the orders to repeat, and stops tracking VMs that didn't arrive in time. */
  ordersToRepeat(now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    for (const [vm, move] of this.#moves) {
      if (move.stage === 'ordered' && now - move.since > ORDER_RETRY_MS) {
        move.since = now;
        orders.push({ pool: move.pool, vm });
      } else if (move.stage === 'moved' && now - move.since > MOVE_TIMEOUT_MS) {
        this.#moves.delete(vm);
      }
    }
    return orders;
  }
}
