/** Start of a load peak in a pool. */
export interface PeakOnset {
  /** Wall-clock time, in ms. */
  at: number;
  pool: string;
}

/** The next peak, predicted from the order and the intervals of earlier ones. */
export interface ExpectedPeak extends PeakOnset {
  /** Expected height, in workers. */
  workers: number;
}

/** Forecast of the load peaks of the pools. */
export interface PeakForecast {
  /** Height of the peak that began in a pool within the last `withinMs` ms; 0 when there is none. */
  activePeakHeight: (pool: string, withinMs: number, wallNow: number) => number;
  /**
   * Records the load of a pool in workers and returns whether a peak begins. `poolSize` is the expected height
   * of the pool's peaks until one has been observed.
   */
  addLoad: (pool: string, load: number, poolSize: number, wallNow: number) => boolean;
  /** The next peak after a wall-clock time; undefined when it can't be predicted. */
  nextPeak: (pools: readonly string[], wallNow: number) => ExpectedPeak | undefined;
  /** Onsets of the latest peaks, oldest first; stored for later leaders. */
  readonly onsets: readonly PeakOnset[];
  /** Replaces the onsets by those that an earlier leader stored. */
  restore: (onsets: readonly PeakOnset[]) => void;
  /** Time until the next peak of a pool, in ms; 0 when it can't be predicted or the pool's peak is active. */
  timeToPeakMs: (pool: string, pools: readonly string[], wallNow: number) => number;
}

/**
 * Shares of the expected peak height at which a peak begins and below which it ends. The gap between them is
 * hysteresis.
 */
const ONSET_SHARE = 0.4;
const END_SHARE = 0.25;

/** Smallest load that counts as a peak, in workers. */
const MIN_PEAK_WORKERS = 2;

/** Time after the onset of a pool's peak in which a rise of its load isn't another onset, in ms. */
const MIN_ONSET_INTERVAL_MS = 3000;

/** Weight of the newest peak in the moving average of peak heights. */
const NEWEST_PEAK_WEIGHT = 0.5;

/** Number of onsets that are kept. */
const MAX_ONSETS = 12;

/** Number of newest intervals between onsets that must agree with the median before a peak is predicted. */
const MIN_REGULAR_INTERVALS = 2;

/** Largest deviation of an interval from the median, as a share of the median. */
const INTERVAL_TOLERANCE = 0.3;

/** Share of the median interval by which a peak may be late before it is no longer expected. */
const MAX_DELAY_SHARE = 0.3;

interface PoolPeak {
  /** Expected height of a peak, in workers. */
  expectedHeight: number;
  /** Whether a peak has been observed to its end. */
  hasCompletedPeak: boolean;
  isPeaking: boolean;
  /** Highest load since the last onset, in workers. */
  maxLoad: number;
}

/**
 * Forecast for pools that peak in rotation. It learns the interval between onsets and which pool follows which.
 * It predicts nothing while the intervals are irregular or after an expected peak has failed to appear.
 */
export class RotationForecast implements PeakForecast {
  #onsets: PeakOnset[] = [];
  readonly #peaks = new Map<string, PoolPeak>();

  /** Onsets of the latest peaks, oldest first; stored for later leaders. */
  get onsets(): readonly PeakOnset[] {
    return this.#onsets;
  }

  /** Replaces the onsets by those that an earlier leader stored. */
  restore(onsets: readonly PeakOnset[]): void {
    this.#onsets = [...onsets].sort((a, b) => a.at - b.at).slice(-MAX_ONSETS);
  }

  /**
   * Records the load of a pool in workers and returns whether a peak begins. `poolSize` is the expected height
   * of the pool's peaks until one has been observed.
   */
  addLoad(pool: string, load: number, poolSize: number, wallNow: number): boolean {
    const peak = this.#peaks.get(pool) ?? {
      expectedHeight: poolSize,
      hasCompletedPeak: false,
      isPeaking: false,
      maxLoad: 0,
    };
    this.#peaks.set(pool, peak);
    peak.maxLoad = Math.max(peak.maxLoad, load);
    if (peak.isPeaking) {
      if (load <= END_SHARE * peak.expectedHeight) {
        peak.isPeaking = false;
        peak.hasCompletedPeak = true;
        peak.expectedHeight += NEWEST_PEAK_WEIGHT * (peak.maxLoad - peak.expectedHeight);
      }
      return false;
    }
    if (load < Math.max(MIN_PEAK_WORKERS, ONSET_SHARE * peak.expectedHeight)) {
      return false;
    }
    peak.maxLoad = load;
    peak.isPeaking = true;
    const last = this.#onsets.at(-1);
    // A second rise within one interval is part of the same peak.
    if (last?.pool === pool && wallNow - last.at < Math.max(MIN_ONSET_INTERVAL_MS, this.#medianInterval())) {
      return false;
    }
    this.#onsets = [...this.#onsets, { at: wallNow, pool }].slice(-MAX_ONSETS);
    return true;
  }

  /** Height of the peak that began in a pool within the last `withinMs` ms; 0 when there is none. */
  activePeakHeight(pool: string, withinMs: number, wallNow: number): number {
    const onset = this.#onsets.findLast((item) => item.pool === pool);
    return onset !== undefined && wallNow - onset.at < withinMs ? this.#expectedHeightOf(pool) : 0;
  }

  /** The next peak after a wall-clock time; undefined when it can't be predicted. */
  nextPeak(pools: readonly string[], wallNow: number): ExpectedPeak | undefined {
    const last = this.#onsets.at(-1);
    if (last === undefined || !this.#isRegular(wallNow)) {
      return undefined;
    }
    const pool = this.#successorOf(last.pool, pools);
    return pool === undefined
      ? undefined
      : { at: last.at + this.#medianInterval(), pool, workers: this.#expectedHeightOf(pool) };
  }

  /** Time until the next peak of a pool, in ms; 0 when it can't be predicted or the pool's peak is active. */
  timeToPeakMs(pool: string, pools: readonly string[], wallNow: number): number {
    const last = this.#onsets.at(-1);
    if (last === undefined || !this.#isRegular(wallNow)) {
      return 0;
    }
    const interval = this.#medianInterval();
    const sinceLast = wallNow - last.at;
    if (last.pool === pool && sinceLast < interval) {
      return 0;
    }
    let intervalsAhead = 1;
    let successor = this.#successorOf(last.pool, pools);
    while (successor !== undefined && successor !== pool && intervalsAhead < pools.length) {
      successor = this.#successorOf(successor, pools);
      intervalsAhead += 1;
    }
    return Math.max(0, intervalsAhead * interval - sinceLast);
  }

  // Intervals between successive onsets, oldest first.
  #intervals(): number[] {
    return this.#onsets.slice(1).map((onset, index) => onset.at - (this.#onsets[index]?.at ?? 0));
  }

  #medianInterval(): number {
    const sorted = this.#intervals().sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }

  // The newest intervals show whether the rotation continues as before.
  #isRegular(wallNow: number): boolean {
    const intervals = this.#intervals();
    const median = this.#medianInterval();
    const newest = intervals.slice(-MIN_REGULAR_INTERVALS);
    const agrees = newest.every((interval) => Math.abs(interval - median) <= INTERVAL_TOLERANCE * median);
    const sinceLast = wallNow - (this.#onsets.at(-1)?.at ?? 0);
    return newest.length === MIN_REGULAR_INTERVALS && agrees && sinceLast <= (1 + MAX_DELAY_SHARE) * median;
  }

  // The pool that peaked after this one before; otherwise the only pool that hasn't peaked yet, or the pool of
  // the oldest onset when all have.
  #successorOf(pool: string, pools: readonly string[]): string | undefined {
    const earlier = this.#onsets.findLastIndex(
      (onset, index) => onset.pool === pool && index < this.#onsets.length - 1,
    );
    if (earlier !== -1) {
      return this.#onsets[earlier + 1]?.pool;
    }
    const unseen = pools.filter((name) => !this.#onsets.some((onset) => onset.pool === name));
    if (unseen.length === 0) {
      return this.#onsets[0]?.pool;
    }
    return unseen.length === 1 ? unseen[0] : undefined;
  }

  // Until the first peak of a pool has ended, the average over the pools that have peaked is assumed for it.
  #expectedHeightOf(pool: string): number {
    const peak = this.#peaks.get(pool);
    const sample =
      peak?.hasCompletedPeak === true ? [pool] : [pool, ...this.#onsets.map((onset) => onset.pool)];
    const heights = sample.flatMap((name) => this.#peaks.get(name)?.expectedHeight ?? []);
    return heights.reduce((sum, height) => sum + height, 0) / Math.max(1, heights.length);
  }
}
