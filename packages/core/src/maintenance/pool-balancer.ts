import type { KeyedRecord } from '../jobs/job-record';
import type { PoolLoad } from '../jobs/pool-load';
import type { Worker } from '../jobs/worker';
import type { PoolNeed } from './pool-needs';
import type { PeakForecast } from './turn-forecast';
import type { MoveAnswer, MoveOrder } from './vm-moves';
import type { VmInfo } from './wave';
import type { WaveLog } from './wave-planner';
import { bestDonor } from './donor-choice';
import { PoolNeeds } from './pool-needs';
import { TurnForecast } from './turn-forecast';
import { decodeOnsets, encodeOnsets } from './turn-record';
import { VmMoves } from './vm-moves';

/** What the balancer sees and may do. */
export interface BalancerFleet {
  loads: (now: number) => PoolLoad[];
  onWorkerEnded: (worker: Worker, now: number) => void;
  workers: ReadonlyMap<string, Worker>;
}

/** What is to be done for the pools. */
export interface BalancePlan {
  orders: MoveOrder[];
  /** What a later leader needs to go on. */
  records: KeyedRecord[];
}

/** Period of the log lines about pools that lack workers, in ms. */
const LOG_PERIOD_MS = 500;

/** Time for which a worker must have been idle before its VM is parked, in ms. */
const PARK_AFTER_MS = 3000;

/**
 * Moves idle VMs to the pools whose jobs wait or whose peak is expected, and parks those that no pool
 * needs in the spare pool. A VM moves only while nothing is assigned to its worker.
 */
export class PoolBalancer {
  readonly #idleSince = new Map<string, number>();
  #lackLoggedAt = -Infinity;
  readonly #moves = new VmMoves();
  readonly #needs: PoolNeeds;
  #vms: readonly VmInfo[] = [];

  constructor(
    private readonly fleet: BalancerFleet,
    private readonly log: WaveLog,
    private readonly forecast: PeakForecast = new TurnForecast(),
  ) {
    this.#needs = new PoolNeeds(forecast);
  }

  /** Takes the records of earlier terms; those of other kinds are passed over. */
  restore(records: readonly KeyedRecord[]): void {
    this.forecast.restore(decodeOnsets(records));
  }

  /** Takes the list of VMs, asked for at a monotonic time. */
  onVms(vms: readonly VmInfo[], askedAt: number): void {
    this.#vms = vms;
    this.#moves.onVms(vms, askedAt, (vm) => this.fleet.workers.has(vm.workerId));
  }

  /** Takes the answer to an order. */
  onAnswer(order: MoveOrder, answer: MoveAnswer, now: number): void {
    const from = this.#moves.onAnswer(order, answer, now);
    if (from === undefined) {
      return;
    }
    this.log('move-answered', { answer, from, pool: order.pool, vm: order.vm });
    const worker = this.#workerOf(order.vm);
    if (answer === 'moved' && worker !== undefined) {
      this.fleet.onWorkerEnded(worker, now);
    } else if (answer === 'refused' && worker !== undefined) {
      worker.isEvacuating = false;
    }
  }

  /** What is to be done at a time by both clocks; `spare` names the pools whose VMs are switched off. */
  plan(now: number, wallNow: number, spare: ReadonlySet<string>): BalancePlan {
    this.#noteIdle(now);
    const orders = this.#moves.repeats(now);
    const loads = this.fleet.loads(now).filter((load) => !spare.has(load.pool));
    const { needs, onset } = this.#needs.of(loads, {
      arriving: (pool, label) =>
        label === undefined
          ? this.#moves.arriving(pool)
          : this.#vms.filter((vm) => this.#moves.isArriving(vm, pool) && vm.labels.includes(label)).length,
      now,
      sized: (pool) => this.#vms.filter((vm) => vm.pool === pool).length,
      travelMs: this.#moves.travelMs,
      usualCpuMilli: Math.max(
        0,
        ...[...this.fleet.workers.values()].map((item) => item.info.capacity.cpuMilli),
      ),
      vms: this.#vms.length,
      wallNow,
    });
    this.#logLacking(
      loads.filter((load) => surplusOf(needs, load.pool) < 0),
      needs,
      now,
    );
    orders.push(...this.#fill(needs, spare, now));
    orders.push(...this.#park(needs, spare, now));
    return { orders, records: onset ? [this.#onsetRecord(loads, wallNow)] : [] };
  }

  #onsetRecord(loads: readonly PoolLoad[], wallNow: number): KeyedRecord {
    const { forecast } = this;
    const next = forecast.next(
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

  #logLacking(lacking: PoolLoad[], needs: ReadonlyMap<string, PoolNeed>, now: number): void {
    if (lacking.length === 0 || now - this.#lackLoggedAt < LOG_PERIOD_MS) {
      return;
    }
    this.#lackLoggedAt = now;
    for (const load of lacking) {
      const { pool, reservedCpuMilli, waitingCpuMilli } = load;
      const arriving = this.#moves.arriving(pool);
      const lacks = -surplusOf(needs, pool);
      const open = load.open.length;
      this.log('pool-short', { arriving, lacks, open, pool, reservedCpuMilli, waitingCpuMilli });
    }
  }

  // Each VM goes to the pool that then has the smallest part of what it needs.
  #fill(needs: ReadonlyMap<string, PoolNeed>, spare: ReadonlySet<string>, now: number): MoveOrder[] {
    const orders: MoveOrder[] = [];
    const free = new Set(this.#vms.filter((vm) => this.#isFree(vm, spare, now)));
    const given = new Set<string>();
    for (let found = neediest(needs, given); found !== undefined; found = neediest(needs, given)) {
      const [pool, need] = found;
      const vm = bestDonor(pool, need, needs, free);
      if (vm === undefined) {
        skip(pool, need, given);
        continue;
      }
      free.delete(vm);
      orders.push(this.#move(vm, pool, now));
      change(need, 1);
      noteLabels(need, vm);
      const donor = needs.get(vm.pool);
      if (donor !== undefined) {
        change(donor, -1);
      }
    }
    return orders;
  }

  #park(needs: ReadonlyMap<string, PoolNeed>, spare: ReadonlySet<string>, now: number): MoveOrder[] {
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
        change(need, -1);
      }
    }
    return orders;
  }

  #move(vm: VmInfo, pool: string, now: number): MoveOrder {
    const worker = this.fleet.workers.get(vm.workerId);
    if (worker !== undefined) {
      worker.isEvacuating = true;
    }
    this.log('vm-moved', { from: vm.pool, pool, vm: vm.id });
    return this.#moves.begin(vm, pool, now);
  }

  #isFree(vm: VmInfo, spare: ReadonlySet<string>, now: number): boolean {
    return this.#moves.canMove(vm, now) && (spare.has(vm.pool) || this.#idleSince.has(vm.workerId));
  }

  #noteIdle(now: number): void {
    for (const [id, worker] of this.fleet.workers) {
      if (worker.runs.size > 0 || !worker.isAssignable(now)) {
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

// When no VM has a label that a pool lacks, any VM may do for the rest of its tasks.
function skip(pool: string, need: PoolNeed, given: Set<string>): void {
  if (need.lackingByLabel.size === 0) {
    given.add(pool);
    return;
  }
  need.lackingByLabel.clear();
  need.surplus = need.has - need.wanted;
}

function change(need: PoolNeed, workers: 1 | -1): void {
  need.has += workers;
  need.surplus += workers;
  need.surplusToPark += workers;
}

function noteLabels(need: PoolNeed, vm: VmInfo): void {
  for (const label of vm.labels) {
    const lacking = need.lackingByLabel.get(label) ?? 0;
    if (lacking > 1) {
      need.lackingByLabel.set(label, lacking - 1);
    } else {
      need.lackingByLabel.delete(label);
    }
  }
}

function surplusOf(needs: ReadonlyMap<string, PoolNeed>, pool: string): number {
  return needs.get(pool)?.surplus ?? 0;
}

function neediest(
  needs: ReadonlyMap<string, PoolNeed>,
  given: ReadonlySet<string>,
): [string, PoolNeed] | undefined {
  const lacking = [...needs].filter(([pool, need]) => !given.has(pool) && need.surplus < 0);
  lacking.sort(([, a], [, b]) => a.surplus / a.wanted - b.surplus / b.wanted);
  return lacking[0];
}
