import type { KeyedRecord } from '../jobs/job-record';
import type { ArrivingVm } from '../jobs/near-places';
import type { PoolLoad } from '../jobs/pool-load';
import type { VmClaims } from '../jobs/vm-claims';
import type { Worker } from '../jobs/worker';
import type { PoolNeed } from './pool-need';
import type { ShrunkVm } from './room-shortage';
import type { PeakForecast } from './rotation-forecast';
import type { MoveAnswer, MoveOrder, VmMove } from './vm-moves';
import type { VmInfo } from './wave';
import type { MaintenanceLog } from './wave-planner';
import { CLAIM_REASON } from '../jobs/vm-claims';
import { selectDonor } from './donor-selection';
import { decodeOnsets, encodeOnsets } from './onset-record';
import { addVm, lacksSuitableWorkers, parkableSurplusOf, surplusOf } from './pool-need';
import { PoolNeeds } from './pool-needs';
import { hasShrunk } from './room-shortage';
import { RotationForecast } from './rotation-forecast';
import { MOVE_DECISION_LIMIT_MS, VmMoves } from './vm-moves';

/** Loads, workers and operations that the pool balancer uses. */
export interface BalancerFleet {
  loads: (now: number) => PoolLoad[];
  /** Handles the end of a worker's incarnation: nothing runs on it any more. */
  onWorkerEnded: (worker: Worker, now: number) => void;
  vmClaims: VmClaims;
  workers: ReadonlyMap<string, Worker>;
}

/** Actions that balance the pools. */
export interface BalancePlan {
  orders: MoveOrder[];
  /** Records that later leaders need in order to continue. */
  records: KeyedRecord[];
}

/** Holder of the claims to VMs that are about to move. */
const CLAIM_HOLDER = 'pool-balancer';

/** Shortest time between the log lines about pools with too few workers, in ms. */
const LOG_PERIOD_MS = 500;

/** Time for which a worker must be idle before its VM is parked, in ms. */
const PARK_AFTER_MS = 3000;

/**
 * Moves idle VMs to pools that have waiting jobs or expect a peak, and parks VMs that no pool needs in the
 * spare pool. A VM moves only while no task is assigned to its worker.
 */
export class PoolBalancer {
  #areVmsListed = true;
  readonly #idleSince = new Map<string, number>();
  readonly #moves = new VmMoves();
  readonly #needs: PoolNeeds;
  #poolSizes = new Map<string, number>();
  #shortageLoggedAt = -Infinity;
  #vms: readonly VmInfo[] = [];

  constructor(
    private readonly fleet: BalancerFleet,
    private readonly log: MaintenanceLog,
    private readonly forecast: PeakForecast = new RotationForecast(),
  ) {
    this.#needs = new PoolNeeds(forecast);
  }

  /** Restores the forecast from the records of earlier terms; ignores records of other kinds. */
  restore(records: readonly KeyedRecord[]): void {
    this.forecast.restore(decodeOnsets(records));
  }

  /** Starts no more moves until VMs are listed again: the service hardly carries out orders that it gets now. */
  onVmsUnavailable(): void {
    this.#areVmsListed = false;
  }

  /** Updates the VMs from a list that was requested at a monotonic time. */
  onVms(vms: readonly VmInfo[], requestedAt: number): void {
    this.#areVmsListed = true;
    this.#vms = vms;
    this.#poolSizes = new Map();
    for (const { pool } of vms) {
      this.#poolSizes.set(pool, (this.#poolSizes.get(pool) ?? 0) + 1);
    }
    this.#moves.onVms(vms, requestedAt, (vm) => this.fleet.workers.has(vm.workerId));
  }

  /** Returns the VMs that are being moved to a pool, of which the capacity is known. */
  arrivals(pool: string): ArrivingVm[] {
    return this.#vms.flatMap((vm) => {
      const at = this.#moves.expectedAt(vm, pool);
      const { capacity, labels, rack } = vm;
      return at === undefined || capacity === undefined ? [] : [{ at, capacity, labels, rack }];
    });
  }

  /** Handles the answer to an order. */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): void {
    const move = this.#moves.onAnswer(order, answer, now);
    this.log('move-answered', { answer, from: move?.from, pool: order.pool, vm: order.vm });
    const worker = move?.worker?.current();
    if (move?.stage === 'moved' && worker !== undefined) {
      this.fleet.onWorkerEnded(worker, now);
    }
    if (move !== undefined && move.stage !== 'ordered') {
      this.#reopenWorker(move, answer, now);
    }
  }

  /** Whether an order still has to be sent at a monotonic time. */
  isWanted(order: MoveOrder, now: number): boolean {
    return this.#moves.isWanted(order, now);
  }

  /**
   * Returns the moves that are due.
   *
   * @param now - Monotonic time, in ms.
   * @param wallNow - Wall-clock time, in ms.
   * @param sparePools - Pools whose VMs are switched off.
   */
  plan(now: number, wallNow: number, sparePools: ReadonlySet<string>): BalancePlan {
    this.#updateIdleSince(now);
    for (const move of this.#moves.withdrawUndecided(now)) {
      this.#reopenWorker(move, 'unanswered', now);
    }
    const orders = this.#moves.ordersToRepeat(now);
    const loads = this.fleet.loads(now).filter((load) => !sparePools.has(load.pool));
    const { needs, onset } = this.#needs.update(loads, {
      arriving: (pool, label) =>
        label === undefined
          ? this.#moves.arrivingCount(pool)
          : this.#arrivingVms(pool).filter((vm) => vm.labels.includes(label)).length,
      arrivingVms: (pool) => this.#arrivingVms(pool),
      defaultWorkerCpuMilli: this.#defaultWorkerCpuMilli(),
      moveDurationMs: this.#moves.moveDurationMs,
      now,
      poolSize: (pool) => this.#poolSizes.get(pool) ?? 0,
      shrunkVms: this.#shrunkVms(),
      vmCount: this.#vms.length,
      wallNow,
    });
    this.#logShortages(
      loads.filter((load) => surplusIn(needs, load.pool) < 0),
      needs,
      now,
    );
    orders.push(...this.#coverShortages(needs, sparePools, now));
    orders.push(...this.#parkSurplus(needs, sparePools, now));
    return { orders, records: onset ? [this.#recordOnset(loads, wallNow)] : [] };
  }

  // An entry in the registry that no worker has confirmed may state any capacity.
  #defaultWorkerCpuMilli(): number {
    const answered = [...this.fleet.workers.values()].filter((worker) => worker.isFenced);
    const capacities =
      answered.length > 0
        ? answered.map((worker) => worker.info.capacity.cpuMilli)
        : this.#vms.map((vm) => vm.capacity?.cpuMilli ?? 0);
    return Math.max(0, ...capacities);
  }

  #recordOnset(loads: readonly PoolLoad[], wallNow: number): KeyedRecord {
    const { forecast } = this;
    const next = forecast.nextPeak(
      loads.map((load) => load.pool),
      wallNow,
    );
    this.log('peak-begins', {
      next: next?.pool,
      nextInMs: next && next.at - wallNow,
      ...forecast.onsets.at(-1),
    });
    return encodeOnsets(forecast.onsets);
  }

  #logShortages(shortOfWorkers: PoolLoad[], needs: ReadonlyMap<string, PoolNeed>, now: number): void {
    if (shortOfWorkers.length === 0 || now - this.#shortageLoggedAt < LOG_PERIOD_MS) {
      return;
    }
    this.#shortageLoggedAt = now;
    for (const load of shortOfWorkers) {
      const { pool, reservedCpuMilli, waitingCpuMilli } = load;
      const arriving = this.#moves.arrivingCount(pool);
      const lacks = -surplusIn(needs, pool);
      const open = load.open.length;
      const stranded = load.stranded.reduce((total, { count }) => total + count, 0);
      this.log('pool-short', { arriving, lacks, open, pool, reservedCpuMilli, stranded, waitingCpuMilli });
    }
  }

  // Each VM goes to the pool that has the lowest ratio of workers to required workers at that point.
  #coverShortages(
    needs: ReadonlyMap<string, PoolNeed>,
    sparePools: ReadonlySet<string>,
    now: number,
  ): MoveOrder[] {
    const orders: MoveOrder[] = [];
    const available = new Set(this.#vms.filter((vm) => this.#isAvailable(vm, sparePools, now)));
    const skipped = new Set<string>();
    for (
      let found = findNeediestPool(needs, skipped);
      found !== undefined;
      found = findNeediestPool(needs, skipped)
    ) {
      const [pool, need] = found;
      const movable = [...available].filter((vm) => this.#moves.canMoveTo(vm, pool, now));
      const vm = selectDonor(pool, need, needs, movable);
      if (vm === undefined) {
        relaxOrSkip(pool, need, skipped);
        continue;
      }
      available.delete(vm);
      orders.push(this.#move(vm, pool, now));
      addVm(need, vm);
      const donor = needs.get(vm.pool);
      if (donor !== undefined) {
        donor.workers -= 1;
      }
    }
    return orders;
  }

  #parkSurplus(
    needs: ReadonlyMap<string, PoolNeed>,
    sparePools: ReadonlySet<string>,
    now: number,
  ): MoveOrder[] {
    const orders: MoveOrder[] = [];
    const [sparePool] = sparePools;
    if (sparePool === undefined) {
      return orders;
    }
    for (const vm of this.#vms) {
      const need = needs.get(vm.pool);
      const idleSince = this.#idleSince.get(vm.workerId) ?? now;
      if (need === undefined || parkableSurplusOf(need) <= 0 || now - idleSince < PARK_AFTER_MS) {
        continue;
      }
      if (this.#isAvailable(vm, sparePools, now) && this.#moves.canMoveTo(vm, sparePool, now)) {
        orders.push(this.#move(vm, sparePool, now));
        need.workers -= 1;
      }
    }
    return orders;
  }

  #arrivingVms(pool: string): VmInfo[] {
    return this.#vms.filter((vm) => this.#moves.isArriving(vm, pool));
  }

  // VMs whose workers are smaller than the list of VMs states, by pool.
  #shrunkVms(): Map<string, ShrunkVm[]> {
    const shrunkVms = new Map<string, ShrunkVm[]>();
    for (const { capacity: listed, pool, workerId } of this.#vms) {
      const worker = this.fleet.workers.get(workerId)?.info.capacity;
      if (listed !== undefined && worker !== undefined && hasShrunk({ listed, worker })) {
        shrunkVms.set(pool, [...(shrunkVms.get(pool) ?? []), { listed, worker }]);
      }
    }
    return shrunkVms;
  }

  #move(vm: VmInfo, pool: string, now: number): MoveOrder {
    const worker = this.fleet.workers.get(vm.workerId);
    if (worker !== undefined) {
      const until = now + MOVE_DECISION_LIMIT_MS;
      this.fleet.vmClaims.claim(worker, { holder: CLAIM_HOLDER, reason: CLAIM_REASON.move, until }, now);
    }
    this.log('vm-moved', { from: vm.pool, pool, vm: vm.id });
    return this.#moves.start(vm, pool, worker, now);
  }

  // While an order may still be carried out, the worker runs only what fits on no other one.
  #reopenWorker({ lateUntil, stage, worker: incarnation }: VmMove, cause: string, now: number): void {
    const worker = incarnation?.current();
    if (worker === undefined || this.fleet.workers.get(worker.info.id) !== worker) {
      return;
    }
    const riskUntil = stage === 'withdrawn' ? lateUntil : now;
    this.fleet.vmClaims.release(worker, CLAIM_HOLDER, cause, now, riskUntil);
  }

  #isAvailable(vm: VmInfo, sparePools: ReadonlySet<string>, now: number): boolean {
    return (
      this.#areVmsListed &&
      this.#moves.canMove(vm, now) &&
      (sparePools.has(vm.pool) || this.#idleSince.has(vm.workerId))
    );
  }

  #updateIdleSince(now: number): void {
    for (const [id, worker] of this.fleet.workers) {
      if (worker.runs.size > 0 || !worker.isAssignable(now)) {
        this.#idleSince.delete(id);
      } else if (!this.#idleSince.has(id)) {
        this.#idleSince.set(id, now);
      }
    }
    for (const id of this.#idleSince.keys()) {
      if (!this.fleet.workers.has(id)) {
        this.#idleSince.delete(id);
      }
    }
  }
}

// Called when no VM is suitable for a pool. Without a VM of the kind that is missing, other VMs may still run the
// rest of the pool's tasks, so that requirement is dropped first; then the pool is skipped. A pool that has
// workers to give then may help the ones that were skipped before.
function relaxOrSkip(pool: string, need: PoolNeed, skipped: Set<string>): void {
  if (!lacksSuitableWorkers(need)) {
    skipped.add(pool);
    return;
  }
  need.roomShortages = [];
  need.shortageByLabel.clear();
  if (surplusOf(need) > 0) {
    skipped.clear();
  }
}

function surplusIn(needs: ReadonlyMap<string, PoolNeed>, pool: string): number {
  const need = needs.get(pool);
  return need === undefined ? 0 : surplusOf(need);
}

function findNeediestPool(
  needs: ReadonlyMap<string, PoolNeed>,
  skipped: ReadonlySet<string>,
): [string, PoolNeed] | undefined {
  const candidates = [...needs].filter(([pool, need]) => !skipped.has(pool) && surplusOf(need) < 0);
  candidates.sort(([, a], [, b]) => surplusOf(a) / a.required - surplusOf(b) / b.required);
  return candidates[0];
}
