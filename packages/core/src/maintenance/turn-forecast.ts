/** Start of a peak of a pool's load. */
export interface PeakOnset {
  /** Wall clock, in ms. */
  at: number;
  pool: string;
}

/** The next peak, as far as the order and the distance of the earlier ones tell. */
export interface ExpectedPeak extends PeakOnset {
  /** Workers that the pool may need. */
  workers: number;
}

/** What is expected of the loads of the pools. */
export interface PeakForecast {
  /** Takes the load of a pool in workers; `sized` stands for its peak until one was seen. Tells of an onset. */
  add: (pool: string, load: number, sized: number, wallNow: number) => boolean;
  /** Height of the peak that has begun in a pool within a time in ms; 0 when none has. */
  begun: (pool: string, withinMs: number, wallNow: number) => number;
  /** Time until the load of a pool can peak again, in ms; 0 while that can't be told or its peak is on. */
  idleMs: (pool: string, pools: readonly string[], wallNow: number) => number;
  /** The next peak at a wall clock time; undefined while none can be told. */
  next: (pools: readonly string[], wallNow: number) => ExpectedPeak | undefined;
  /** Starts of the latest peaks, oldest first; a later leader goes on with them. */
  readonly onsets: readonly PeakOnset[];
  /** Takes onsets that an earlier leader has seen. */
  restore: (onsets: readonly PeakOnset[]) => void;
}

/** Parts of the expected height of a peak: the load at which it begins, and below which it has ended. */
const BEGINS_AT = 0.4;
const ENDS_AT = 0.25;

/** Smallest load that counts as a peak, in workers. */
const MIN_PEAK = 2;

/** Time after the start of a pool's peak in which a rise of its load begins no other, in ms. */
const SHORTEST_TURN_MS = 3000;

/** Weight of the last peak in the height that is expected. */
const NEWEST_WEIGHT = 0.5;

/** Onsets that are kept. */
const MAX_ONSETS = 12;

/** Distances between onsets that must agree before a peak is expected. */
const MIN_DISTANCES = 2;

/** Largest difference of a distance from the median, as a share of it. */
const TOLERANCE = 0.3;

/** Part of the usual distance by which a peak may be late before it is given up. */
const LATE_SHARE = 0.3;

interface PoolLevel {
  /** Height of a peak that is expected, in workers. */
  height: number;
  /** Highest load since the last onset, in workers. */
  highest: number;
  peaking: boolean;
  /** A peak has been seen to its end. */
  seen: boolean;
}

/**
 * Forecast for pools whose load peaks in turn: learns the distance between the starts of peaks and which
 * pool follows which. It expects nothing while the distances differ, or when a peak fails to come.
 */
export class TurnForecast implements PeakForecast {
  readonly #levels = new Map<string, PoolLevel>();
  #onsets: PeakOnset[] = [];

  /** Starts of the latest peaks, oldest first; a later leader goes on with them. */
  get onsets(): readonly PeakOnset[] {
    return this.#onsets;
  }

  /** Takes onsets that an earlier leader has seen. */
  restore(onsets: readonly PeakOnset[]): void {
    this.#onsets = [...onsets].sort((a, b) => a.at - b.at).slice(-MAX_ONSETS);
  }

  /** Takes the load of a pool in workers; `sized` stands for its peak until one was seen. Tells of an onset. */
  add(pool: string, load: number, sized: number, wallNow: number): boolean {
    const level = this.#levels.get(pool) ?? { height: sized, highest: 0, peaking: false, seen: false };
    this.#levels.set(pool, level);
    level.highest = Math.max(level.highest, load);
    if (level.peaking) {
      if (load <= ENDS_AT * level.height) {
        level.peaking = false;
        level.seen = true;
        level.height += NEWEST_WEIGHT * (level.highest - level.height);
      }
      return false;
    }
    if (load < Math.max(MIN_PEAK, BEGINS_AT * level.height)) {
      return false;
    }
    level.highest = load;
    level.peaking = true;
    const last = this.#onsets.at(-1);
    // A second rise in one turn is part of the same peak.
    if (last?.pool === pool && wallNow - last.at < Math.max(SHORTEST_TURN_MS, this.#distance())) {
      return false;
    }
    this.#onsets = [...this.#onsets, { at: wallNow, pool }].slice(-MAX_ONSETS);
    return true;
  }

  /** Height of the peak that has begun in a pool within a time in ms; 0 when none has. */
  begun(pool: string, withinMs: number, wallNow: number): number {
    const onset = this.#onsets.findLast((item) => item.pool === pool);
    return onset !== undefined && wallNow - onset.at < withinMs ? this.#heightOf(pool) : 0;
  }

  /** The next peak at a wall clock time; undefined while none can be told. */
  next(pools: readonly string[], wallNow: number): ExpectedPeak | undefined {
    const last = this.#onsets.at(-1);
    if (last === undefined || !this.#isTrusted(wallNow)) {
      return undefined;
    }
    const pool = this.#follower(last.pool, pools);
    return pool === undefined
      ? undefined
      : { at: last.at + this.#distance(), pool, workers: this.#heightOf(pool) };
  }

  /**
   * Time until the load of a pool can peak again, in ms; 0 while that can't be told or its peak is on.
   */
  idleMs(pool: string, pools: readonly string[], wallNow: number): number {
    const last = this.#onsets.at(-1);
    if (last === undefined || !this.#isTrusted(wallNow)) {
      return 0;
    }
    const distance = this.#distance();
    const sinceLast = wallNow - last.at;
    if (last.pool === pool && sinceLast < distance) {
      return 0;
    }
    let turns = 1;
    let follower = this.#follower(last.pool, pools);
    while (follower !== undefined && follower !== pool && turns < pools.length) {
      follower = this.#follower(follower, pools);
      turns += 1;
    }
    return Math.max(0, turns * distance - sinceLast);
  }

  // Distances of the last peaks; the newest says whether the turns go on as before.
  #distances(): number[] {
    return this.#onsets.slice(1).map((onset, index) => onset.at - (this.#onsets[index]?.at ?? 0));
  }

  #distance(): number {
    const sorted = this.#distances().sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }

  #isTrusted(wallNow: number): boolean {
    const distances = this.#distances();
    const median = this.#distance();
    const newest = distances.slice(-MIN_DISTANCES);
    const agrees = newest.every((distance) => Math.abs(distance - median) <= TOLERANCE * median);
    const sinceLast = wallNow - (this.#onsets.at(-1)?.at ?? 0);
    return newest.length === MIN_DISTANCES && agrees && sinceLast <= (1 + LATE_SHARE) * median;
  }

  // Which pool came after this one before; else the only one that has not had its turn yet.
  #follower(pool: string, pools: readonly string[]): string | undefined {
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

  // A pool whose first peak has not ended is taken for like the others.
  #heightOf(pool: string): number {
    const level = this.#levels.get(pool);
    const like = level?.seen === true ? [pool] : [pool, ...this.#onsets.map((onset) => onset.pool)];
    const heights = like.flatMap((name) => this.#levels.get(name)?.height ?? []);
    return heights.reduce((sum, height) => sum + height, 0) / Math.max(1, heights.length);
  }
}
