import type { PeakForecast, PoolLoad, VmInfo, Worker } from '../../../src/jobs';
import { PoolBalancer, RotationForecast, Worker as VmWorker } from '../../../src/jobs';
import { worker } from '../../jobs/support/jobs';

const SPARE = 'spare';
const POOLS = ['a', 'b', 'c', 'd'];
const PERIOD_MS = 100;
const VM_COUNT = 24;
const VMS_PER_POOL = 4;
const WORKER_CPU_MILLI = 4000;
const MOVE_DURATION_MS = 2000;

/** Work that comes in a peak and beside it, in thousandths of a core. */
const PEAK_CPU_MILLI = 34_000;
const OFF_PEAK_CPU_MILLI = 800;

interface Vm {
  info: VmInfo;
  /** Monotonic time at which the VM arrives in its pool, in ms. */
  upAt: number;
  worker: Worker;
}

/** What callers and the operator got. */
export interface SimulationResult {
  /** Time that VMs spent in pools, in seconds. */
  vmSeconds: number;
  /** Work that waited, in core-seconds. */
  waitedCoreSeconds: number;
}

/** Pools whose load peaks in turn, and a balancer that moves VMs between them; work flows like a liquid. */
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
      loads: () => POOLS.map((pool) => this.#loadOf(pool)),
      onWorkerEnded: () => undefined,
      workers: new Map(this.#vms.map((vm) => [vm.worker.info.id, vm.worker])),
    };
    this.#balancer = new PoolBalancer(fleet, () => undefined, forecast);
  }

  /** Plays from the start to a time in ms. */
  run(untilMs: number): SimulationResult {
    for (; this.#now < untilMs; this.#now += PERIOD_MS) {
      for (const pool of POOLS) {
        this.#runWork(pool);
      }
      if (this.isBalanced) {
        this.#balance();
      }
      const inPools = this.#vms.filter((vm) => vm.info.pool !== SPARE).length;
      this.#result.vmSeconds += (inPools * PERIOD_MS) / 1000;
    }
    return this.#result;
  }

  #addVm(index: number): void {
    const pool = POOLS[Math.floor(index / VMS_PER_POOL)] ?? SPARE;
    const made = new VmWorker(worker(`w${index}`, { pool }), 0);
    made.fenced = true;
    const info: VmInfo = {
      id: `vm${index}`,
      labels: [],
      pool,
      rack: 'r',
      state: 'up',
      workerId: `w${index}`,
      zone: 'z',
    };
    this.#vms.push({ info, upAt: 0, worker: made });
  }

  #availableVms(pool: string): Vm[] {
    return this.#vms.filter((vm) => vm.info.pool === pool && vm.upAt <= this.#now);
  }

  #runWork(pool: string): void {
    const turn = Math.floor(this.#now / this.peakIntervalMs) % POOLS.length;
    const arriving = POOLS[turn] === pool ? PEAK_CPU_MILLI : OFF_PEAK_CPU_MILLI;
    const capacity = this.#availableVms(pool).length * WORKER_CPU_MILLI;
    const wanted = (this.#waiting.get(pool) ?? 0) + arriving;
    this.#waiting.set(pool, Math.max(0, wanted - capacity));
    this.#served.set(pool, Math.min(wanted, capacity));
    this.#result.waitedCoreSeconds += (Math.max(0, wanted - capacity) / 1000) * (PERIOD_MS / 1000);
    let left = Math.min(wanted, capacity);
    for (const vm of this.#availableVms(pool)) {
      vm.worker.runs.clear();
      if (left > 0) {
        vm.worker.runs.set('t', {} as never);
      }
      left -= WORKER_CPU_MILLI;
    }
  }

  #loadOf(pool: string): PoolLoad {
    const reservedCpuMilli = this.#served.get(pool) ?? 0;
    const waitingCpuMilli = this.#waiting.get(pool) ?? 0;
    const open = this.#availableVms(pool).map((vm) => vm.worker);
    return {
      endingCpuMilli: reservedCpuMilli + waitingCpuMilli,
      floor: 0,
      nearLabels: new Set(),
      open,
      pool,
      reservedCpuMilli,
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
        vm.worker.evacuating = false;
        this.#balancer.onAnswer(order, 'moved', this.#now);
      }
    }
  }
}

/** Forecast that expects nothing. */
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
    // It learns nothing.
  }
}
