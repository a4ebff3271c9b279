import type { VmInfo } from './wave';
import { VM_STATE } from './wave';

/** Order to move a VM to another pool. */
export interface MoveOrder {
  pool: string;
  vm: string;
}

/** Answers to an order to move a VM. */
export type MoveAnswer = 'moved' | 'refused' | 'unknown';

/** Time after which a VM that moved counts as arrived or lost, in ms. */
const MOVE_LIMIT_MS = 6000;

/** Time after which an order without a clear answer is repeated, in ms. */
const REPEAT_MS = 500;

/** Time for which a VM whose move was refused stays, in ms. */
const REFUSED_PAUSE_MS = 10_000;

/** Time that a move takes until one has been seen, in ms. */
const FIRST_TRAVEL_MS = 2000;

/** Weight of the newest move in the time that moves take. */
const NEWEST_WEIGHT = 0.1;

interface Movement extends MoveOrder {
  from: string;
  orderedAt: number;
  /** Monotonic time of the last order or of its answer, in ms. */
  since: number;
  stage: 'moved' | 'ordered';
}

/** VMs that are on their way from one pool to another. */
export class VmMoves {
  readonly #moves = new Map<string, Movement>();
  readonly #refusedUntil = new Map<string, number>();
  #travelMs = FIRST_TRAVEL_MS;

  /** Time from an order until the VM's worker can take tasks, in ms. */
  get travelMs(): number {
    return this.#travelMs;
  }

  /** Number of VMs that are on their way to a pool. */
  arriving(pool: string): number {
    return [...this.#moves.values()].filter((move) => move.pool === pool).length;
  }

  /** Whether a VM is on its way to a pool. */
  isArriving(vm: VmInfo, pool: string): boolean {
    return this.#moves.get(vm.id)?.pool === pool;
  }

  /** Whether a VM may be ordered to move at a monotonic time. */
  canMove(vm: VmInfo, now: number): boolean {
    const isPaused = (this.#refusedUntil.get(vm.id) ?? 0) > now;
    return vm.state === VM_STATE.up && !this.#moves.has(vm.id) && !isPaused;
  }

  /** Notes an order that is given at a monotonic time. */
  begin(vm: VmInfo, pool: string, now: number): MoveOrder {
    this.#moves.set(vm.id, { from: vm.pool, orderedAt: now, pool, since: now, stage: 'ordered', vm: vm.id });
    return { pool, vm: vm.id };
  }

  /** Takes the answer to an order; gives the pool that the VM leaves, undefined for an order not known. */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): string | undefined {
    const move = this.#moves.get(order.vm);
    if (answer === 'moved' && move !== undefined) {
      move.stage = 'moved';
      move.since = now;
    } else if (answer === 'refused' && move !== undefined) {
      this.#moves.delete(order.vm);
      this.#refusedUntil.set(order.vm, now + REFUSED_PAUSE_MS);
    }
    return move?.from;
  }

  /** Takes the list of VMs, asked for at a monotonic time; `hasWorker` tells whether a VM's worker is known. */
  onVms(vms: readonly VmInfo[], askedAt: number, hasWorker: (vm: VmInfo) => boolean): void {
    for (const vm of vms) {
      const move = this.#moves.get(vm.id);
      const isUp = move?.stage === 'moved' && askedAt > move.since && vm.state === VM_STATE.up;
      if (isUp && vm.pool === move.pool && hasWorker(vm)) {
        this.#travelMs += NEWEST_WEIGHT * (askedAt - move.orderedAt - this.#travelMs);
      }
      if (isUp && (vm.pool !== move.pool || hasWorker(vm))) {
        this.#moves.delete(vm.id);
      }
    }
  }

  /** Orders to give again; gives up VMs that did not arrive. */
  repeats(now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    for (const [vm, move] of this.#moves) {
      if (move.stage === 'ordered' && now - move.since > REPEAT_MS) {
        move.since = now;
        orders.push({ pool: move.pool, vm });
      } else if (move.stage === 'moved' && now - move.since > MOVE_LIMIT_MS) {
        this.#moves.delete(vm);
      }
    }
    return orders;
  }
}
