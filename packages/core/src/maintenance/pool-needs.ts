import type { PoolLoad } from '../jobs/pool-load';
import type { StepRun } from '../jobs/step-run';
import type { PoolNeed } from './pool-need';
import type { RoomShortage, ShrunkVm } from './room-shortage';
import type { PeakForecast } from './rotation-forecast';
import type { VmInfo } from './wave';
import { ArrivalNeed } from './arrival-need';
import { PeakReserve } from './peak-reserve';
import { reduceShortages } from './room-shortage';

/** Inputs of the computation of needs, in addition to the load. */
export interface NeedInputs {
  /** Number of VMs that are being moved to a pool, either all or those with a label. */
  arriving: (pool: string, label?: string) => number;
  /** VMs that are being moved to a pool. */
  arrivingVms: (pool: string) => readonly VmInfo[];
  /** CPU capacity assumed for the workers of a pool without workers, in millicores; 0 when none is known. */
  defaultWorkerCpuMilli: number;
  /** Time that a VM takes to move from one pool to another, in ms. */
  moveDurationMs: number;
  /** Monotonic time, in ms. */
  now: number;
  /** Number of VMs in a pool. */
  poolSize: (pool: string) => number;
  /** VMs whose workers are smaller than the list of VMs states, by pool. */
  shrunkVms: ReadonlyMap<string, readonly ShrunkVm[]>;
  /** Number of VMs in all pools. */
  vmCount: number;
  /** Wall-clock time, in ms. */
  wallNow: number;
}

/** Share of a worker's CPU capacity that tasks of different sizes can fill. */
const USABLE_CPU_SHARE = 0.85;

/** Allowance for the rounding of sums, in thousandths of a core. */
const ROUNDING_ALLOWANCE_CPU_MILLI = 0.001;

/** Workers that a pool keeps in addition to its need. */
const HEADROOM_WORKERS = 1;

/** Largest share of all VMs that is expected to work for one pool. */
const MAX_POOL_SHARE = 0.5;

/** Margin on the duration of a move, so that a VM arrives before the peak, in ms. */
const LEAD_TIME_MARGIN_MS = 300;

/** Time after the expected onset of a peak for which workers are still held for it, in ms. */
const LATE_PEAK_GRACE_MS = 1000;

/** Time after the onset of a peak for which its expected height is provided for, in ms. */
const PEAK_RISE_MS = 3000;

/**
 * Time after which a VM is moved for tasks that fit on no open worker, in ms. Before that, room mostly comes from
 * tasks that end.
 */
const MAX_STRANDED_MS = 300;

/** Computes how many workers each pool needs now and for the next expected peak. */
export class PoolNeeds {
  readonly #arrivalNeed = new ArrivalNeed();
  readonly #reserve = new PeakReserve();

  constructor(private readonly forecast: PeakForecast) {}

  /** Records the loads in the forecast; returns the needs of all pools and whether a peak begins. */
  update(loads: readonly PoolLoad[], inputs: NeedInputs): { needs: Map<string, PoolNeed>; onset: boolean } {
    const onsets = loads.filter((load) => this.#addLoad(load, inputs));
    const pools = loads.map((load) => load.pool);
    const needs = loads.map((load) => [load.pool, this.#computeNeed(load, pools, inputs)] as const);
    return { needs: new Map(needs), onset: onsets.length > 0 };
  }

  #addLoad(load: PoolLoad, inputs: NeedInputs): boolean {
    const { poolSize, vmCount, wallNow } = inputs;
    const workers = Math.min(load.endingCpuMilli / usableCpuMilli(load, inputs), MAX_POOL_SHARE * vmCount);
    return this.forecast.addLoad(load.pool, workers, poolSize(load.pool), wallNow);
  }

  #computeNeed(load: PoolLoad, pools: readonly string[], inputs: NeedInputs): PoolNeed {
    const usedCpuMilli = load.reservedCpuMilli + load.waitingCpuMilli;
    const busy = countWorkersFor(usedCpuMilli, load, inputs);
    const workers = load.open.length + inputs.arriving(load.pool);
    const atArrival = countWorkersFor(this.#cpuMilliAtArrival(load, inputs), load, inputs);
    const neededForWork = Math.max(busy, atArrival, load.floor, this.#workersForPeak(load, pools, inputs));
    const required = Math.max(busy + HEADROOM_WORKERS, neededForWork);
    const keptForPeak = this.#workersToKeep(load, busy, pools, inputs);
    return {
      dataRacks: load.nearLabels,
      keptForPeak,
      neededForWork,
      required,
      roomShortages: findRoomShortages(load, inputs),
      shortageByLabel: computeLabelShortages(load, inputs),
      shrunkVms: inputs.shrunkVms.get(load.pool) ?? [],
      workers,
    };
  }

  #cpuMilliAtArrival(load: PoolLoad, inputs: NeedInputs): number {
    const { arriving, moveDurationMs, now } = inputs;
    const arrivingCount = arriving(load.pool);
    const arrivingCpuMilli = arrivingCount > 0 ? arrivingCount * usableCpuMilli(load, inputs) : 0;
    return this.#arrivalNeed.update(load, { arrivingCpuMilli, moveDurationMs, now });
  }

  // Workers for the expected height of a peak that has just begun or is about to begin, in addition to those
  // for long-running tasks.
  #workersForPeak(load: PoolLoad, pools: readonly string[], inputs: NeedInputs): number {
    const { moveDurationMs, wallNow } = inputs;
    const next = this.forecast.nextPeak(pools, wallNow);
    const isDue =
      next?.pool === load.pool &&
      wallNow >= next.at - moveDurationMs - LEAD_TIME_MARGIN_MS &&
      wallNow <= next.at + LATE_PEAK_GRACE_MS;
    const height = isDue ? next.workers : this.forecast.activePeakHeight(load.pool, PEAK_RISE_MS, wallNow);
    const longRunning =
      (load.reservedCpuMilli + load.waitingCpuMilli - load.endingCpuMilli) / usableCpuMilli(load, inputs);
    return height > 0 ? Math.ceil(height + longRunning) : 0;
  }

  #workersToKeep(load: PoolLoad, busy: number, pools: readonly string[], inputs: NeedInputs): number {
    const { moveDurationMs, now, poolSize, wallNow } = inputs;
    const { pool } = load;
    return this.#reserve.update({
      busy,
      hasPeaked: this.forecast.onsets.some((onset) => onset.pool === pool),
      moveDurationMs,
      now,
      pool,
      poolSize: poolSize(pool),
      timeToPeakMs: this.forecast.timeToPeakMs(pool, pools, wallNow),
    });
  }
}

// Tasks of a step that run in turn are left to do so for as long as a VM takes to arrive.
function findRoomShortages({ pool, stranded }: PoolLoad, inputs: NeedInputs): RoomShortage[] {
  const { arrivingVms, moveDurationMs, now } = inputs;
  const shortages: RoomShortage[] = [];
  for (const { count, since, step } of stranded) {
    if (now - since >= (isAtWork(step) ? moveDurationMs : MAX_STRANDED_MS)) {
      shortages.push({ count, spec: step.spec });
    }
  }
  return shortages.length === 0 ? [] : arrivingVms(pool).reduce(reduceShortages, shortages);
}

// The tasks of a long-running step serve users each by itself.
function isAtWork({ spec, unfinishedCount, waitingCount }: StepRun): boolean {
  return !spec.longRunning && waitingCount < unfinishedCount;
}

// Tasks that require a label may wait while workers without it are idle. Demand that fits into the free
// capacity of workers with the label is not counted, since it is about to be assigned, unless the limit per worker
// of a long-running step requires more of them.
function computeLabelShortages(load: PoolLoad, inputs: NeedInputs): Map<string, number> {
  const shortages = new Map<string, number>();
  for (const [label, waiting] of load.waitingByLabel) {
    const labelled = load.open.filter((worker) => worker.info.labels.includes(label));
    const free = sum(labelled.map((worker) => USABLE_CPU_SHARE * worker.freeCpuMilli));
    const missingForCpu = Math.ceil((waiting - free) / usableCpuMilli(load, inputs));
    const missingForFloor = (load.floorByLabel.get(label) ?? 0) - labelled.length;
    const missing = Math.max(missingForCpu, missingForFloor) - inputs.arriving(load.pool, label);
    if (missing > 0) {
      shortages.set(label, missing);
    }
  }
  return shortages;
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}

// The workers of a pool may differ, also because the capacity of some has become smaller. The largest are counted
// first; what exceeds all of them needs further workers.
function countWorkersFor(usedCpuMilli: number, load: PoolLoad, inputs: NeedInputs): number {
  const capacities = load.open.map((worker) => worker.info.capacity.cpuMilli).sort((a, b) => b - a);
  let uncovered = usedCpuMilli - ROUNDING_ALLOWANCE_CPU_MILLI;
  let count = 0;
  for (const capacity of capacities) {
    if (uncovered <= 0) {
      return count;
    }
    uncovered -= USABLE_CPU_SHARE * Math.max(0, capacity);
    count += 1;
  }
  return count + Math.ceil(Math.max(0, uncovered) / usableCpuMilli(load, inputs));
}

// A pool without workers, or whose workers have no capacity left, is assumed to get workers like those of the others.
function usableCpuMilli(load: PoolLoad, inputs: NeedInputs): number {
  const capacities = load.open.map((worker) => worker.info.capacity.cpuMilli);
  const largest = Math.max(0, ...capacities);
  const perWorker = largest > 0 ? largest : inputs.defaultWorkerCpuMilli;
  return perWorker > 0 ? USABLE_CPU_SHARE * perWorker : Infinity;
}
