import type { SimulatedWorker } from './simulated-worker';

/** Injected faults. Order faults are probabilities per order, the others per tick. */
export interface Faults {
  /** An order is executed up to `MAX_ORDER_DELAY_MS` later and gets no answer. */
  delayedOrder: number;
  /** A report request is executed up to `MAX_ORDER_DELAY_MS` later and gets no answer; a probability per request. */
  delayedReport: number;
  /** Most of the runs that start on a worker fail, for up to `MAX_FAILING_MS`. */
  failingWorker: number;
  /** A change of the registry is read up to `MAX_ENTRY_DELAY_MS` later; a probability per change. */
  lateEntry: number;
  /** A report arrives up to `MAX_REPORT_DELAY_MS` later; a probability per report. */
  lateReport: number;
  /** Another leader takes over; the earlier one goes on until it learns of that. */
  leaderChange: number;
  /** The leader ends at once, and another one takes over. */
  leaderCrash: number;
  /** An order is executed, but its answer is lost. */
  lostAnswer: number;
  /** A report request is executed, but its answer is lost. */
  lostReport: number;
  /** A worker is unreachable for up to `MAX_PARTITION_MS`. */
  partition: number;
  /** The registry entry of a worker is missing for up to `MAX_PARTITION_MS`. */
  registryLoss: number;
  /** A worker restarts as a new incarnation. */
  restart: number;
  /** A worker restarts as a new incarnation whose clock is up to `MAX_CLOCK_STEP_MS` behind the earlier one. */
  restartWithClockBehind: number;
  /** A worker is unreachable for up to `MAX_SILENCE_MS`, longer than its lease, and goes on after that. */
  silence: number;
  /** The store is too slow for new assignments for up to `MAX_SLOW_STORE_MS`; ends are still stored. */
  slowStore: number;
}

/** What becomes of a report request: its answer may come late or be lost, or it is executed late without an answer. */
export type ReportFate = 'answered' | 'delayed' | 'late' | 'lost';

/** Faults that the cluster carries out itself. */
interface ClusterFaults {
  changesLeader: boolean;
  crashesLeader: boolean;
  /** Whether a worker has been restarted. */
  restartsWorker: boolean;
}

/** Longest delay of an order that gets no answer, in ms. */
export const MAX_ORDER_DELAY_MS = 2500;

/** Longest delay of a report, in ms. */
export const MAX_REPORT_DELAY_MS = 700;

export const NO_FAULTS: Faults = {
  delayedOrder: 0,
  delayedReport: 0,
  failingWorker: 0,
  lateEntry: 0,
  lateReport: 0,
  leaderChange: 0,
  leaderCrash: 0,
  lostAnswer: 0,
  lostReport: 0,
  partition: 0,
  registryLoss: 0,
  restart: 0,
  restartWithClockBehind: 0,
  silence: 0,
  slowStore: 0,
};

const MAX_CLOCK_STEP_MS = 3000;
const MAX_ENTRY_DELAY_MS = 500;
const MAX_FAILING_MS = 3000;
const MAX_PARTITION_MS = 1800;
const MAX_SILENCE_MS = 4000;
const MAX_SLOW_STORE_MS = 1000;

/** Share of the runs on a failing worker that fail. */
const FAILING_SHARE = 0.6;

/** Draws faults, and knows those that last. */
export class InjectedFaults {
  readonly #failingUntil = new Map<string, number>();
  #storeSlowUntil = 0;
  readonly #unreachableUntil = new Map<string, number>();
  readonly #unregisteredUntil = new Map<string, number>();

  constructor(
    private readonly faults: Faults,
    private readonly random: () => number,
  ) {}

  isReachable(id: string, now: number): boolean {
    return (this.#unreachableUntil.get(id) ?? 0) <= now;
  }

  isRegistered(id: string, now: number): boolean {
    return (this.#unregisteredUntil.get(id) ?? 0) <= now;
  }

  isStoreSlow(now: number): boolean {
    return this.#storeSlowUntil > now;
  }

  /** Whether a run that starts on a worker will fail because of it. */
  failsRun(id: string, now: number): boolean {
    return (this.#failingUntil.get(id) ?? 0) > now && this.random() < FAILING_SHARE;
  }

  /** Returns what becomes of a report request. */
  fateOfReport(): ReportFate {
    if (this.#occurs(this.faults.delayedReport)) {
      return 'delayed';
    }
    if (this.#occurs(this.faults.lostReport)) {
      return 'lost';
    }
    return this.#occurs(this.faults.lateReport) ? 'late' : 'answered';
  }

  /** Returns the time after which a change of the registry is read, in ms. */
  entryDelayMs(): number {
    return this.#occurs(this.faults.lateEntry) ? MAX_ENTRY_DELAY_MS * this.random() : 0;
  }

  /** Begins the faults of a tick. */
  inject(workers: readonly SimulatedWorker[], now: number): ClusterFaults {
    const { faults } = this;
    const victim = workers[Math.floor(this.random() * workers.length)];
    let restartsWorker = false;
    if (victim !== undefined) {
      restartsWorker = this.#restart(victim, now);
      if (this.random() < faults.partition) {
        this.#begin(this.#unreachableUntil, victim, now, MAX_PARTITION_MS);
      }
      if (this.#occurs(faults.registryLoss)) {
        this.#begin(this.#unregisteredUntil, victim, now, MAX_PARTITION_MS);
      }
      if (this.#occurs(faults.silence)) {
        this.#begin(this.#unreachableUntil, victim, now, MAX_SILENCE_MS);
      }
      if (this.#occurs(faults.failingWorker)) {
        this.#begin(this.#failingUntil, victim, now, MAX_FAILING_MS);
      }
    }
    const changesLeader = this.random() < faults.leaderChange;
    if (this.#occurs(faults.slowStore)) {
      this.#storeSlowUntil = now + MAX_SLOW_STORE_MS * this.random();
    }
    return { changesLeader, crashesLeader: this.#occurs(faults.leaderCrash), restartsWorker };
  }

  #restart(victim: SimulatedWorker, now: number): boolean {
    const { restart, restartWithClockBehind } = this.faults;
    if (this.random() < restart) {
      victim.restart(now);
      return true;
    }
    if (this.#occurs(restartWithClockBehind)) {
      victim.restart(now, MAX_CLOCK_STEP_MS * this.random());
      return true;
    }
    return false;
  }

  #begin(until: Map<string, number>, { id }: SimulatedWorker, now: number, maxMs: number): void {
    until.set(id, now + maxMs * this.random());
  }

  // A fault that is left out draws no number, so that the seeds of scenarios without it stay the same.
  #occurs(probability: number): boolean {
    return probability > 0 && this.random() < probability;
  }
}
