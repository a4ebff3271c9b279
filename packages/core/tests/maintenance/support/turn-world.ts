import type { PeakForecast, PoolLoad, VmInfo, Worker } from '../../../src/jobs';
import { PoolBalancer, TurnForecast, Worker as VmWorker } from '../../../src/jobs';
import { worker } from '../../jobs/support/jobs';

const SPARE = 'spare';
const POOLS = ['a', 'b', 'c', 'd'];
const PERIOD_MS = 100;
const VMS = 24;
const VMS_PER_POOL = 4;
const CORES_MILLI = 4000;
const TRAVEL_MS = 2000;

/** Work that comes in a peak and beside it, in thousandths of a core. */
const PEAK_MILLI = 34_000;
const REST_MILLI = 800;

interface Vm {
  info: VmInfo;
  /** Monotonic time at which the VM arrives in its pool, in ms. */
  upAt: number;
  worker: Worker;
}

/** What callers and the operator got. */
export interface Outcome {
  /** Time that VMs spent in pools, in seconds. */
  vmS: number;
  /** Work that waited, in core-seconds. */
  waitedCoreS: number;
}

/** Pools whose load peaks in turn, and a balancer that moves VMs between them; work flows like a liquid. */
export class TurnWorld {
  readonly #arrived = new Map<string, number>();
  readonly #balancer: PoolBalancer;
  #now = 0;
  readonly #outcome: Outcome = { vmS: 0, waitedCoreS: 0 };
  readonly #vms: Vm[] = [];
  readonly #waiting = new Map<string, number>();

  constructor(
    private readonly turnMs: number,
    private readonly moves: boolean,
    forecast: PeakForecast = new TurnForecast(),
  ) {
    for (let index = 0; index < VMS; index += 1) {
      this.#add(index);
    }
    const fleet = {
      loads: () => POOLS.map((pool) => this.#load(pool)),
      onWorkerEnded: () => undefined,
      workers: new Map(this.#vms.map((vm) => [vm.worker.info.id, vm.worker])),
    };
    this.#balancer = new PoolBalancer(fleet, () => undefined, forecast);
  }

  /** Plays from the start to a time in ms. */
  run(untilMs: number): Outcome {
    for (; this.#now < untilMs; this.#now += PERIOD_MS) {
      for (const pool of POOLS) {
        this.#work(pool);
      }
      if (this.moves) {
        this.#balance();
      }
      const inPools = this.#vms.filter((vm) => vm.info.pool !== SPARE).length;
      this.#outcome.vmS += (inPools * PERIOD_MS) / 1000;
    }
    return this.#outcome;
  }

  #add(index: number): void {
    const pool = POOLS[Math.floor(index / VMS_PER_POOL)] ?? SPARE;
    const made = new VmWorker(worker(`w${index}`, { pool }), 0);
    made.isFenced = true;
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

  #upIn(pool: string): Vm[] {
    return this.#vms.filter((vm) => vm.info.pool === pool && vm.upAt <= this.#now);
  }

  #work(pool: string): void {
    const turn = Math.floor(this.#now / this.turnMs) % POOLS.length;
    const arriving = POOLS[turn] === pool ? PEAK_MILLI : REST_MILLI;
    const capacity = this.#upIn(pool).length * CORES_MILLI;
    const wanted = (this.#waiting.get(pool) ?? 0) + arriving;
    this.#waiting.set(pool, Math.max(0, wanted - capacity));
    this.#arrived.set(pool, Math.min(wanted, capacity));
    this.#outcome.waitedCoreS += (Math.max(0, wanted - capacity) / 1000) * (PERIOD_MS / 1000);
    let left = Math.min(wanted, capacity);
    for (const vm of this.#upIn(pool)) {
      vm.worker.runs.clear();
      if (left > 0) {
        vm.worker.runs.set('t', {} as never);
      }
      left -= CORES_MILLI;
    }
  }

  #load(pool: string): PoolLoad {
    const reservedCpuMilli = this.#arrived.get(pool) ?? 0;
    const waitingCpuMilli = this.#waiting.get(pool) ?? 0;
    const open = this.#upIn(pool).map((vm) => vm.worker);
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
        vm.upAt = this.#now + TRAVEL_MS;
        vm.worker.isEvacuating = false;
        this.#balancer.onAnswer(order, 'moved', this.#now);
      }
    }
  }
}

/** Forecast that expects nothing. */
export class NoForecast implements PeakForecast {
  readonly onsets = [];

  add(): boolean {
    return false;
  }

  begun(): number {
    return 0;
  }

  idleMs(): number {
    return 0;
  }

  next(): undefined {
    return undefined;
  }

  restore(): void {
    // It learns nothing.
  }
}
