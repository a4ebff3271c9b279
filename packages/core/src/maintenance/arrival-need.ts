import type { PoolLoad } from '../jobs/pool-load';

/** Time over which the rate of new work is measured, in ms: about a run time, so that several steps become ready. */
const RATE_WINDOW_MS = 1000;

/**
 * Wait at the arrival that needs no further VMs, in run times. Objectives allow about 0.6 of the critical path in
 * addition to it, so jobs that wait so long at each step are in time.
 */
const TOLERATED_WAIT_RUNS = 0.5;

interface Sample {
  /** Monotonic time, in ms. */
  at: number;
  /** Work that is still to do, in thousandths of a core times ms. */
  remaining: number;
  /** Processor time reserved by tasks that end, in thousandths of a core. */
  reserved: number;
}

/** What a pool has at its disposal until a VM that is ordered now arrives. */
export interface TimeToArrival {
  /** Usable processor time of the VMs that are on the way, in thousandths of a core. */
  arrivingCpuMilli: number;
  /** Time until the arrival, in ms. */
  moveDurationMs: number;
  /** Monotonic time, in ms. */
  now: number;
}

/**
 * Predicts what a pool needs when a VM that is ordered now arrives. Answers the onset of a peak: the load then grows
 * faster than VMs arrive, so that a need for what waits now is too low by the time it is covered.
 */
export class ArrivalNeed {
  readonly #samples = new Map<string, Sample[]>();

  /**
   * Records the load of a pool. Returns the processor time that its tasks need at the arrival, in thousandths of a
   * core, with the backlog that is left then worked off within one run time; 0 when no backlog that matters is left,
   * or the rate of new work is not known.
   */
  update(load: PoolLoad, { arrivingCpuMilli, moveDurationMs, now }: TimeToArrival): number {
    const { endingCpuMilli, pool, reservedCpuMilli, waitingCpuMilli, work } = load;
    if (work === undefined) {
      return 0;
    }
    const lasting = reservedCpuMilli + waitingCpuMilli - endingCpuMilli;
    const reserved = Math.max(0, reservedCpuMilli - lasting);
    const rate = this.#addSample(pool, { at: now, remaining: work.remaining, reserved });
    const { meanRunMs } = work;
    // VMs that are on the way arrive half of the time earlier on average.
    const done = (reserved + arrivingCpuMilli / 2) * moveDurationMs;
    // Tasks that run without waiting have half of their run time left on average.
    const steady = (rate * meanRunMs) / 2;
    const backlog = work.remaining + rate * moveDurationMs - done - steady;
    return waitingCpuMilli > 0 && backlog > TOLERATED_WAIT_RUNS * rate * meanRunMs
      ? lasting + rate + backlog / meanRunMs
      : 0;
  }

  // Returns the rate of new work, in thousandths of a core: the change of what is still to do, and what was done.
  #addSample(pool: string, sample: Sample): number {
    const known = this.#samples.get(pool) ?? [];
    const start = known.findLastIndex(({ at }) => sample.at - at >= RATE_WINDOW_MS);
    const samples = [...known.slice(Math.max(0, start)), sample];
    this.#samples.set(pool, samples);
    const [first] = samples;
    if (start === -1 || first === undefined) {
      return 0;
    }
    let change = sample.remaining - first.remaining;
    for (const [index, { at, reserved }] of samples.slice(1).entries()) {
      change += reserved * (at - (samples[index]?.at ?? at));
    }
    return Math.max(0, change / (sample.at - first.at));
  }
}
