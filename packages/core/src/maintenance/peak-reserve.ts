import { SlidingMaximum } from './sliding-maximum';

/** State of a pool from which its reserve for the next peak follows. */
export interface ReserveInputs {
  /** Workers that the assigned and waiting tasks of the pool need. */
  busy: number;
  /** Whether a peak of the pool has been observed. */
  hasPeaked: boolean;
  /** Time that a VM takes to move from one pool to another, in ms. */
  moveDurationMs: number;
  /** Monotonic time, in ms. */
  now: number;
  pool: string;
  /** Number of VMs in the pool, as the operators gave them when the term began. */
  poolSize: number;
  /** Predicted time until the next peak of the pool, in ms; 0 when there is no prediction. */
  timeToPeakMs: number;
}

/** Share of a pool's peak for which workers are kept running. */
const RESERVED_PEAK_SHARE = 0.8;

/** Time for which a VM must stay switched off to be worth two moves, in ms. */
const MIN_PARKED_MS = 2500;

/** Time for which the operators' size of a pool, or a peak before the first onset, counts, in ms. */
const INITIAL_WINDOW_MS = 30_000;

/**
 * Time after the load of a peak for which workers are kept in case the load returns, in ms. The load of a peak dips
 * between the steps of its jobs, for as long as a task runs (up to 2 s); a VM that left then would be away for a move
 * (1.5 s) after that.
 */
const RETURN_WINDOW_MS = 3500;

/**
 * Decides how many workers a pool keeps running for its next peak. Answers a load in which pools peak by turns
 * and are nearly idle in between: a worker that is kept longer helps only its own pool, since a VM takes as
 * long to arrive from another pool as from the spare pool.
 */
export class PeakReserve {
  readonly #initial = new Map<string, SlidingMaximum>();
  readonly #recent = new Map<string, SlidingMaximum>();

  /** Records the workers in use and returns the number of workers to keep. */
  update({ busy, hasPeaked, moveDurationMs, now, pool, poolSize, timeToPeakMs }: ReserveInputs): number {
    const initial = getOrCreate(
      this.#initial,
      pool,
      () => new SlidingMaximum(poolSize, now, INITIAL_WINDOW_MS),
    );
    const recent = getOrCreate(this.#recent, pool, () => new SlidingMaximum(0, now, RETURN_WINDOW_MS));
    initial.add(busy, now);
    recent.add(busy, now);
    if (timeToPeakMs > moveDurationMs + MIN_PARKED_MS) {
      return 0;
    }
    return Math.ceil(RESERVED_PEAK_SHARE * (hasPeaked ? recent : initial).value);
  }
}

function getOrCreate<V>(map: Map<string, V>, key: string, create: () => V): V {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = create();
  map.set(key, created);
  return created;
}
