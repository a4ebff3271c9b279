import type { PoolLoad } from '../jobs/pool-load';
import type { PeakForecast } from './turn-forecast';
import { RecentPeak } from './recent-peak';

/** Workers that a pool has beyond its needs. */
export interface PoolNeed {
  /** Workers that the pool has, with those on their way to it. */
  has: number;
  /** Workers that the pool keeps for its next peak. */
  kept: number;
  /** Workers that the pool lacks of those with a label that its tasks require. */
  lackingByLabel: Map<string, number>;
  /** Racks that hold the data of the pool's jobs. */
  nearLabels: ReadonlySet<string>;
  /** Workers beyond what the pool needs now; negative when it lacks some. */
  surplus: number;
  /** Workers beyond what the pool may need within the time that a VM takes to arrive. */
  surplusToPark: number;
  /** Workers that the pool needs now. */
  wanted: number;
}

/** What the needs are worked out from, beside the load. */
export interface NeedInputs {
  /** VMs that are on their way to a pool, all or those with a label. */
  arriving: (pool: string, label?: string) => number;
  /** Monotonic time, in ms. */
  now: number;
  /** VMs that are in a pool. */
  sized: (pool: string) => number;
  /** Time that a VM takes from one pool to another, in ms. */
  travelMs: number;
  /** Processor time of a worker, in thousandths of a core; 0 while no worker is known. */
  usualCpuMilli: number;
  /** VMs of all pools. */
  vms: number;
  wallNow: number;
}

/** Part of a worker's processor time that tasks of different sizes can fill. */
const USABLE_SHARE = 0.85;

/** Workers of a pool that are kept beyond its need. */
const KEPT_WORKERS = 1;

/** Part of a pool's peak for which workers are kept on, or brought in ahead of the peak. */
const KEPT_PEAK_SHARE = 0.8;

/** Largest part of all VMs that is expected to work for one pool. */
const LARGEST_SHARE = 0.5;

/** Time added to a VM's way, so that it arrives before the peak, in ms. */
const AHEAD_MS = 300;

/** Time after the expected start of a peak for which workers wait for it, in ms. */
const GRACE_MS = 1000;

/** Time after the start of a peak for which its usual height is provided for, in ms. */
const RISE_MS = 3000;

/** Time for which switching a VM off must last to be worth two moves, in ms. */
const WORTH_PARKING_MS = 2500;

/** Works out how many workers each pool needs, now and for the peak that is expected next. */
export class PoolNeeds {
  readonly #peaks = new Map<string, RecentPeak>();

  constructor(private readonly forecast: PeakForecast) {}

  /** Needs of all pools; notes the loads for the forecast. Tells whether a peak has begun. */
  of(loads: readonly PoolLoad[], inputs: NeedInputs): { needs: Map<string, PoolNeed>; onset: boolean } {
    const onsets = loads.filter((load) => this.#note(load, inputs));
    const pools = loads.map((load) => load.pool);
    const needs = loads.map((load) => [load.pool, this.#needOf(load, pools, inputs)] as const);
    return { needs: new Map(needs), onset: onsets.length > 0 };
  }

  #note(load: PoolLoad, inputs: NeedInputs): boolean {
    const { sized, vms, wallNow } = inputs;
    const workers = Math.min(load.endingCpuMilli / usableOf(load, inputs), LARGEST_SHARE * vms);
    return this.forecast.add(load.pool, workers, sized(load.pool), wallNow);
  }

  #needOf(load: PoolLoad, pools: readonly string[], inputs: NeedInputs): PoolNeed {
    const busy = Math.ceil((load.reservedCpuMilli + load.waitingCpuMilli) / usableOf(load, inputs));
    const has = load.open.length + inputs.arriving(load.pool);
    const now = Math.max(busy, load.floor) + KEPT_WORKERS;
    const wanted = Math.max(now, this.#ahead(load, pools, inputs));
    const kept = this.#kept(load, busy, pools, inputs);
    const { nearLabels } = load;
    const lackingByLabel = lackingLabels(load, inputs);
    const lacking = sum(lackingByLabel.values());
    const surplus = lacking > 0 ? Math.min(has - wanted, -lacking) : has - wanted;
    const surplusToPark = Math.min(surplus, has - kept);
    return { has, kept, lackingByLabel, nearLabels, surplus, surplusToPark, wanted };
  }

  // Workers for the usual height of a peak that has just begun or is about to; lasting tasks go on beside it.
  #ahead(load: PoolLoad, pools: readonly string[], inputs: NeedInputs): number {
    const { travelMs, wallNow } = inputs;
    const next = this.forecast.next(pools, wallNow);
    const isDue =
      next?.pool === load.pool && wallNow >= next.at - travelMs - AHEAD_MS && wallNow <= next.at + GRACE_MS;
    const height = isDue ? next.workers : this.forecast.begun(load.pool, RISE_MS, wallNow);
    const lasting =
      (load.reservedCpuMilli + load.waitingCpuMilli - load.endingCpuMilli) / usableOf(load, inputs);
    return height > 0 ? Math.ceil(KEPT_PEAK_SHARE * height + lasting) : 0;
  }

  // A pool whose turn is far away keeps no workers for it.
  #kept(load: PoolLoad, busy: number, pools: readonly string[], inputs: NeedInputs): number {
    const { now, sized, travelMs, wallNow } = inputs;
    const peak = this.#peaks.get(load.pool) ?? new RecentPeak(sized(load.pool), now);
    this.#peaks.set(load.pool, peak);
    peak.add(busy, now);
    const idleMs = this.forecast.idleMs(load.pool, pools, wallNow);
    return idleMs > travelMs + WORTH_PARKING_MS ? 0 : Math.ceil(KEPT_PEAK_SHARE * peak.value);
  }
}

// Tasks that require a label may wait while workers without it are idle. What workers with the label have
// room for is about to be assigned.
function lackingLabels(load: PoolLoad, inputs: NeedInputs): Map<string, number> {
  const lacking = new Map<string, number>();
  for (const [label, waiting] of load.waitingByLabel) {
    const labelled = load.open.filter((worker) => worker.info.labels.includes(label));
    const free = sum(labelled.map((worker) => USABLE_SHARE * worker.freeCpuMilli));
    const needed = Math.ceil((waiting - free) / usableOf(load, inputs)) - inputs.arriving(load.pool, label);
    if (needed > 0) {
      lacking.set(label, needed);
    }
  }
  return lacking;
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}

// A pool without workers is taken to get such as the other pools have.
function usableOf(load: PoolLoad, inputs: NeedInputs): number {
  const known = load.open.map((worker) => worker.info.capacity.cpuMilli);
  const perWorker = known.length === 0 ? inputs.usualCpuMilli : Math.max(...known);
  return perWorker > 0 ? USABLE_SHARE * perWorker : Infinity;
}
