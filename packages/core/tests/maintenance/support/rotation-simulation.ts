import type { PeakForecast, PoolLoad, VmInfo, Worker } from '../../../src/jobs';
import { PoolBalancer, RotationForecast, VmClaims, Worker as VmWorker } from '../../../src/jobs';
import { worker } from '../../jobs/support/jobs';

const SPARE = 'spare';
const POOLS = ['a', 'b', 'c', 'd'];
const TICK_MS = 100;
const VM_COUNT = 24;
const VMS_PER_POOL = 4;
const WORKER_CPU_MILLI = 4000;
const MOVE_DURATION_MS = 2000;

/** CPU demand of a pool in its peak and between peaks, in millicores. */
const PEAK_CPU_MILLI = 34_000;
const OFF_PEAK_CPU_MILLI = 800;

interface Vm {
  info: VmInfo;
  /** Monotonic time from which the VM is up in its pool, in ms. */
  upAt: number;
  worker: Worker;
}

/** Result of a simulation. */
export interface SimulationResult {
  /** Time that VMs spent switched on, summed over all VMs, in seconds. */
  vmSeconds: number;
  /** CPU demand that waited, summed over time, in core-seconds. */
  waitedCoreSeconds: number;
}

/**
 * Simulates pools that peak in rotation and a balancer that moves VMs between them. Work is a continuous amount
 * of CPU time, not individual tasks.
 */
export class RotationSimulation {
  readonly #served = new Map<string, number>();
  readonly #balancer: PoolBalancer;
  #now = 0;
  readonly #result: SimulationResult = { vmSeconds: 0, waitedCoreSeconds: 0 };
  readonly #vms: Vm[] = [];
  readonly #waiting = new Map<string, number>();

  constructor(
    private readonly peakIntervalMs: number,
    private readonly isBalanced: boolean,
    forecast: PeakForecast = new RotationForecast(),
  ) {
    for (let index = 0; index < VM_COUNT; index += 1) {
      this.#addVm(index);
    }
    const fleet = {
      vmClaims: new VmClaims(() => undefined),
      loads: () => POOLS.map((pool) => this.#loadOf(pool)),
      onWorkerEnded: () => undefined,
      workers: new Map(this.#vms.map((vm) => [vm.worker.info.id, vm.worker])),
    };
    this.#balancer = new PoolBalancer(fleet, () => undefined, forecast);
  }

  /** Simulates from the current time to a time in ms. */
  run(untilMs: number): SimulationResult {
    for (; this.#now < untilMs; this.#now += TICK_MS) {
      for (const pool of POOLS) {
        this.#runWork(pool);
      }
      if (this.isBalanced) {
        this.#balance();
      }
      const inPools = this.#vms.filter((vm) => vm.info.pool !== SPARE).length;
      this.#result.vmSeconds += (inPools * TICK_MS) / 1000;
    }
    return this.#result;
  }

  #addVm(index: number): void {
    const pool = POOLS[Math.floor(index / VMS_PER_POOL)] ?? SPARE;
    const vmWorker = new VmWorker(worker(`w${index}`, { pool }), 0);
    vmWorker.isFenced = true;
    const info: VmInfo = {
      id: `vm${index}`,
      labels: [],
      pool,
      rack: 'r',
      state: 'up',
      workerId: `w${index}`,
      zone: 'z',
    };
    this.#vms.push({ info, upAt: 0, worker: vmWorker });
  }

  #availableVms(pool: string): Vm[] {
    return this.#vms.filter((vm) => vm.info.pool === pool && vm.upAt <= this.#now);
  }

  #runWork(pool: string): void {
    const peaking = Math.floor(this.#now / this.peakIntervalMs) % POOLS.length;
    const arrivingMilli = POOLS[peaking] === pool ? PEAK_CPU_MILLI : OFF_PEAK_CPU_MILLI;
    const capacityMilli = this.#availableVms(pool).length * WORKER_CPU_MILLI;
    const demandMilli = (this.#waiting.get(pool) ?? 0) + arrivingMilli;
    this.#waiting.set(pool, Math.max(0, demandMilli - capacityMilli));
    this.#served.set(pool, Math.min(demandMilli, capacityMilli));
    this.#result.waitedCoreSeconds += (Math.max(0, demandMilli - capacityMilli) / 1000) * (TICK_MS / 1000);
    let remainingMilli = Math.min(demandMilli, capacityMilli);
    for (const vm of this.#availableVms(pool)) {
      vm.worker.runs.clear();
      if (remainingMilli > 0) {
        vm.worker.runs.set('t', {} as never);
      }
      remainingMilli -= WORKER_CPU_MILLI;
    }
  }

  #loadOf(pool: string): PoolLoad {
    const reservedCpuMilli = this.#served.get(pool) ?? 0;
    const waitingCpuMilli = this.#waiting.get(pool) ?? 0;
    const open = this.#availableVms(pool).map((vm) => vm.worker);
    return {
      endingCpuMilli: reservedCpuMilli + waitingCpuMilli,
      floorByLabel: new Map(),
      floor: 0,
      nearLabels: new Set(),
      open,
      pool,
      reservedCpuMilli,
      stranded: [],
      waitingByLabel: new Map(),
      waitingCpuMilli,
    };
  }

  #balance(): void {
    const listed = this.#vms.map(({ info, upAt }): VmInfo => ({
      ...info,
      state: upAt <= this.#now ? 'up' : 'moving',
    }));
    this.#balancer.onVms(listed, this.#now);
    const { orders } = this.#balancer.plan(this.#now, this.#now, new Set([SPARE]));
    for (const order of orders) {
      const vm = this.#vms.find((item) => item.info.id === order.vm);
      if (vm !== undefined && vm.upAt <= this.#now) {
        vm.info.pool = order.pool;
        vm.upAt = this.#now + MOVE_DURATION_MS;
        vm.worker.vmClaims.clear();
        this.#balancer.onAnswer(order, 'moved', this.#now);
      }
    }
  }
}

/** Forecast that never predicts a peak. */
export class NoForecast implements PeakForecast {
  readonly onsets = [];

  addLoad(): boolean {
    return false;
  }

  activePeakHeight(): number {
    return 0;
  }

  timeToPeakMs(): number {
    return 0;
  }

  nextPeak(): undefined {
    return undefined;
  }

  restore(): void {
    // There is no state to restore.
  }
}
