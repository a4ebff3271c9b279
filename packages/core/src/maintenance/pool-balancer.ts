import type { PoolLoad } from '../jobs/pool-load';
import type { Worker } from '../jobs/worker';
import type { VmInfo } from './wave';
import type { WaveLog } from './wave-planner';
import { RecentPeak } from './recent-peak';
import { VM_STATE } from './wave';

/** What the balancer sees and may do. */
export interface BalancerFleet {
  loads: (now: number) => PoolLoad[];
  onWorkerEnded: (worker: Worker, now: number) => void;
  workers: ReadonlyMap<string, Worker>;
}

/** Order to move a VM to another pool. */
export interface MoveOrder {
  pool: string;
  vm: string;
}

/** Answers to an order to move a VM. */
export type MoveAnswer = 'moved' | 'refused' | 'unknown';

/** Period of the log lines about pools that lack workers, in ms. */
const LOG_PERIOD_MS = 500;

interface Movement extends MoveOrder {
  from: string;
  /** Monotonic time of the order, in ms. */
  since: number;
  stage: 'moved' | 'ordered';
}

interface Need {
  /** Workers beyond what the pool needs now; negative when it lacks some. */
  surplus: number;
  /** Workers beyond what the pool may need within the time that a VM takes to arrive. */
  surplusToPark: number;
  /** Workers that the pool needs now. */
  wanted: number;
}

/** Part of a worker's processor time that tasks of different sizes can fill. */
const USABLE_SHARE = 0.85;

/** Workers of a pool that are kept beyond its need. */
const KEPT_WORKERS = 1;

/** Part of a pool's recent peak for which workers are kept on, since the next peak comes at once. */
const KEPT_PEAK_SHARE = 0.8;

/** Time for which a worker must have been idle before its VM is parked, in ms. */
const PARK_AFTER_MS = 3000;

/** Time after which a VM that moved counts as arrived or lost, in ms. */
const MOVE_LIMIT_MS = 6000;

/** Time after which an order without a clear answer is repeated, in ms. */
const REPEAT_MS = 500;

/** Time for which a VM whose move was refused stays, in ms. */
const REFUSED_PAUSE_MS = 10_000;

/**
 * Moves idle VMs to the pools whose jobs wait, and parks those that no pool needs in the spare pool. A VM
 * moves only while nothing is assigned to its worker.
 */
export class PoolBalancer {
  readonly #idleSince = new Map<string, number>();
  #lackLoggedAt = -Infinity;
  readonly #moves = new Map<string, Movement>();
  readonly #peaks = new Map<string, RecentPeak>();
  readonly #refusedUntil = new Map<string, number>();
  #vms: readonly VmInfo[] = [];

  constructor(
    private readonly fleet: BalancerFleet,
    private readonly log: WaveLog,
  ) {}

  /** Takes the list of VMs, asked for at a monotonic time. */
  onVms(vms: readonly VmInfo[], askedAt: number): void {
    this.#vms = vms;
    for (const vm of vms) {
      const move = this.#moves.get(vm.id);
      const arrived = move?.stage === 'moved' && askedAt > move.since && vm.state === VM_STATE.up;
      if (arrived && (vm.pool !== move.pool || this.fleet.workers.has(vm.workerId))) {
        this.#moves.delete(vm.id);
      }
    }
  }

  /** Takes the answer to an order. */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): void {
    const move = this.#moves.get(order.vm);
    if (move === undefined) {
      return;
    }
    const worker = this.#workerOf(order.vm);
    this.log('move-answered', { answer, from: move.from, pool: order.pool, vm: order.vm });
    if (answer === 'moved') {
      move.stage = 'moved';
      move.since = now;
      if (worker !== undefined) {
        this.fleet.onWorkerEnded(worker, now);
      }
    } else if (answer === 'refused') {
      this.#moves.delete(order.vm);
      this.#refusedUntil.set(order.vm, now + REFUSED_PAUSE_MS);
      if (worker !== undefined) {
        worker.evacuating = false;
      }
    }
  }

  /** Moves that are to be ordered now; `spare` names the pools whose VMs are switched off. */
  plan(now: number, spare: ReadonlySet<string>): MoveOrder[] {
    this.#noteIdle(now);
    const orders = this.#repeats(now);
    const loads = this.fleet.loads(now).filter((load) => !spare.has(load.pool));
    const needs = new Map(loads.map((load) => [load.pool, this.#needOf(load, now)]));
    this.#logLacking(
      loads.filter((load) => surplusOf(needs, load.pool) < 0),
      needs,
      now,
    );
    orders.push(...this.#fill(needs, spare, now));
    orders.push(...this.#park(needs, spare, now));
    return orders;
  }

  #logLacking(lacking: PoolLoad[], needs: ReadonlyMap<string, Need>, now: number): void {
    if (lacking.length === 0 || now - this.#lackLoggedAt < LOG_PERIOD_MS) {
      return;
    }
    this.#lackLoggedAt = now;
    for (const load of lacking) {
      const { pool, reservedCpuMilli, waitingCpuMilli } = load;
      const arriving = this.#arriving(pool);
      const lacks = -surplusOf(needs, pool);
      const open = load.open.length;
      this.log('pool-short', { arriving, lacks, open, pool, reservedCpuMilli, waitingCpuMilli });
    }
  }

  // Each VM goes to the pool that then has the smallest part of what it needs.
  #fill(needs: ReadonlyMap<string, Need>, spare: ReadonlySet<string>, now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    for (const vm of this.#donors(needs, spare, now)) {
      const donor = needs.get(vm.pool);
      if (donor !== undefined && donor.surplus <= 0) {
        continue;
      }
      const pool = neediest(needs, vm.pool);
      const need = needs.get(pool ?? '');
      if (pool === undefined || need === undefined) {
        continue;
      }
      orders.push(this.#move(vm, pool, now));
      need.surplus += 1;
      if (donor !== undefined) {
        donor.surplus -= 1;
        donor.surplusToPark -= 1;
      }
    }
    return orders;
  }

  // An idle VM that is on costs more than one that is switched off; what may be needed soon goes last.
  #donors(needs: ReadonlyMap<string, Need>, spare: ReadonlySet<string>, now: number): VmInfo[] {
    const free = this.#vms.filter((vm) => this.#isFree(vm, spare, now));
    const rank = (vm: VmInfo): number => {
      const need = needs.get(vm.pool);
      return need === undefined ? 1 : need.surplusToPark > 0 ? 0 : 2;
    };
    return free.sort((a, b) => rank(a) - rank(b));
  }

  #park(needs: ReadonlyMap<string, Need>, spare: ReadonlySet<string>, now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    const [target] = spare;
    if (target === undefined) {
      return orders;
    }
    for (const vm of this.#vms) {
      const need = needs.get(vm.pool);
      const idleSince = this.#idleSince.get(vm.workerId) ?? now;
      if (need === undefined || need.surplusToPark <= 0 || now - idleSince < PARK_AFTER_MS) {
        continue;
      }
      if (this.#isFree(vm, spare, now)) {
        orders.push(this.#move(vm, target, now));
        need.surplus -= 1;
        need.surplusToPark -= 1;
      }
    }
    return orders;
  }

  #move(vm: VmInfo, pool: string, now: number): MoveOrder {
    const worker = this.fleet.workers.get(vm.workerId);
    if (worker !== undefined) {
      worker.evacuating = true;
    }
    this.#moves.set(vm.id, { from: vm.pool, pool, since: now, stage: 'ordered', vm: vm.id });
    this.log('vm-moved', { from: vm.pool, pool, vm: vm.id });
    return { pool, vm: vm.id };
  }

  #needOf(load: PoolLoad, now: number): Need {
    const perWorker = Math.max(1, ...load.open.map((worker) => worker.info.capacity.cpuMilli));
    const usable = load.open.length === 0 ? Infinity : USABLE_SHARE * perWorker;
    const busy = Math.ceil((load.reservedCpuMilli + load.waitingCpuMilli) / usable);
    const has = load.open.length + this.#arriving(load.pool);
    const wanted = Math.max(busy, load.floor) + KEPT_WORKERS;
    const kept = Math.ceil(KEPT_PEAK_SHARE * this.#peakOf(load, busy, now));
    return { surplus: has - wanted, surplusToPark: has - Math.max(wanted, kept), wanted };
  }

  // Until something has been learned, the size that the operators gave the pool stands for its peak.
  #peakOf(load: PoolLoad, busy: number, now: number): number {
    const known = this.#peaks.get(load.pool);
    const sized = this.#vms.filter((vm) => vm.pool === load.pool).length;
    const peak = known ?? new RecentPeak(sized, now);
    this.#peaks.set(load.pool, peak);
    peak.add(busy, now);
    return peak.value;
  }

  #arriving(pool: string): number {
    return [...this.#moves.values()].filter((move) => move.pool === pool).length;
  }

  #repeats(now: number): MoveOrder[] {
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

  #isFree(vm: VmInfo, spare: ReadonlySet<string>, now: number): boolean {
    if (vm.state !== VM_STATE.up || this.#moves.has(vm.id) || (this.#refusedUntil.get(vm.id) ?? 0) > now) {
      return false;
    }
    return spare.has(vm.pool) || this.#idleSince.has(vm.workerId);
  }

  #noteIdle(now: number): void {
    for (const [id, worker] of this.fleet.workers) {
      if (worker.runs.size > 0 || !worker.isOpen(now)) {
        this.#idleSince.delete(id);
      } else if (!this.#idleSince.has(id)) {
        this.#idleSince.set(id, now);
      }
    }
    for (const id of [...this.#idleSince.keys()].filter((known) => !this.fleet.workers.has(known))) {
      this.#idleSince.delete(id);
    }
  }

  #workerOf(vm: string): Worker | undefined {
    return this.fleet.workers.get(this.#vms.find((item) => item.id === vm)?.workerId ?? '');
  }
}

function surplusOf(needs: ReadonlyMap<string, Need>, pool: string): number {
  return needs.get(pool)?.surplus ?? 0;
}

function neediest(needs: ReadonlyMap<string, Need>, except: string): string | undefined {
  const lacking = [...needs].filter(([pool, need]) => pool !== except && need.surplus < 0);
  lacking.sort(([, a], [, b]) => a.surplus / a.wanted - b.surplus / b.wanted);
  return lacking[0]?.[0];
}
