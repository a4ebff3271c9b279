import type { ReportedEnd, RunEnd, StartAnswer, WorkerInfo, WorkerReport } from '../../../src/jobs';
import { RUN_END, START_ANSWER } from '../../../src/jobs';
import { worker } from './jobs';

interface SimulatedRun {
  endsAt: number;
  fails: boolean;
  run: number;
}

/** Observes the runs of the simulated workers, to check the guarantees of the scheduler. */
export interface RunObserver {
  onEnd: (workerId: string, task: string, run: number, end: RunEnd) => void;
  /** A worker learned that the end of a done run is stored, and its lease has not lapsed since that end. */
  onEndAcknowledged: (task: string, run: number) => void;
  onStart: (workerId: string, task: string, run: number) => void;
}

/** Duration to which a worker shortens a longer lease, in ms. */
export const MAX_LEASE_MS = 2500;

/** Rate of the worker's clock, as a fraction of real time: the slowest clock that is allowed. */
const CLOCK_RATE = 0.98;

/** Simulates a worker with its runs, ends, lease and fencing token. */
export class SimulatedWorker {
  #bornAt: number;
  /** Time at which the worker's clock began, in ms. */
  #clockStartedAt: number;
  #endNumber = 0;
  #ends: ReportedEnd[] = [];
  #epoch = 0;
  #lapsedEnds = new Set<number>();
  #highestRun = new Map<string, number>();
  #leaseUntil = 0;
  readonly #runs = new Map<string, SimulatedRun>();

  constructor(
    readonly id: string,
    private readonly maxRuns: number,
    private readonly observer: RunObserver,
    now: number,
  ) {
    this.#bornAt = now + 1;
    this.#clockStartedAt = now + 1;
  }

  /** Entry of the worker in the registry. */
  get info(): WorkerInfo {
    const capacity = { cpuMilli: this.maxRuns * 1000, gpus: 0, memoryMb: this.maxRuns * 100 };
    return worker(this.id, { bornAt: this.#bornAt, capacity });
  }

  /** Ends the runs that are due, and all runs if the lease has lapsed. */
  advance(now: number): void {
    for (const [task, run] of [...this.#runs]) {
      if (run.endsAt <= now) {
        this.#end(task, run.fails ? RUN_END.failed : RUN_END.done);
      }
    }
    if (this.clockMs(now) > this.#leaseUntil) {
      this.#ends.forEach((row) => this.#lapsedEnds.add(row.number));
      this.#endAll(RUN_END.lapsed);
    }
  }

  /** Starts a new incarnation, without any state of the previous one and with a clock that may be behind, in ms. */
  restart(now: number, clockBehindMs = 0): void {
    for (const [task, run] of this.#runs) {
      this.observer.onEnd(this.id, task, run.run, RUN_END.lapsed);
    }
    this.#runs.clear();
    this.#ends = [];
    this.#endNumber = 0;
    this.#lapsedEnds = new Set();
    this.#epoch = 0;
    this.#highestRun = new Map();
    this.#leaseUntil = 0;
    this.#bornAt = Math.round(now + 1 - clockBehindMs);
    this.#clockStartedAt = now + 1;
  }

  /** Executes an order to start a run that lasts `durationMs`; some runs fail without a fault of the worker. */
  start(
    task: string,
    run: number,
    epoch: number,
    deadline: number,
    now: number,
    durationMs: number,
    failsByWorker = false,
  ): StartAnswer {
    if (epoch < this.#epoch) {
      return START_ANSWER.fenced;
    }
    this.#epoch = epoch;
    if (this.#runs.get(task)?.run === run) {
      return START_ANSWER.started;
    }
    if (run <= (this.#highestRun.get(task) ?? 0)) {
      return START_ANSWER.stale;
    }
    if (deadline <= this.clockMs(now)) {
      return START_ANSWER.refused;
    }
    if (this.#runs.size >= this.maxRuns) {
      return START_ANSWER.noCapacity;
    }
    this.#extendLease(deadline, now);
    this.#runs.set(task, { endsAt: now + durationMs, fails: failsByWorker || durationMs % 7 === 0, run });
    this.#highestRun.set(task, run);
    this.observer.onStart(this.id, task, run);
    return START_ANSWER.started;
  }

  /** Executes an order to stop a run. Returns false if the order is from an earlier term. */
  stop(task: string, run: number, epoch: number): boolean {
    if (epoch < this.#epoch) {
      return false;
    }
    this.#epoch = epoch;
    if (this.#runs.get(task)?.run === run) {
      this.#end(task, RUN_END.stopped);
    }
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0));
    return true;
  }

  /** Returns a report of the running and ended runs; undefined for a call of an earlier term. */
  report(
    epoch: number,
    endsStored: number,
    deadline: number | undefined,
    now: number,
  ): WorkerReport | undefined {
    if (epoch < this.#epoch) {
      return undefined;
    }
    this.#epoch = epoch;
    this.#extendLease(deadline ?? 0, now);
    for (const row of this.#ends.filter((item) => item.number <= endsStored && item.end === RUN_END.done)) {
      if (!this.#lapsedEnds.has(row.number)) {
        this.observer.onEndAcknowledged(row.task, row.run);
      }
    }
    this.#ends = this.#ends.filter((row) => row.number > endsStored);
    const running = [...this.#runs].map(([task, { endsAt, run }]) => ({
      checkpoint: '',
      load: 0,
      percent: Math.round(now + endsAt) % 100,
      run,
      task,
    }));
    return { bornAt: this.#bornAt, clockMs: this.clockMs(now), ended: [...this.#ends], running };
  }

  #extendLease(deadline: number, now: number): void {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.clockMs(now) + MAX_LEASE_MS));
  }

  clockMs(now: number): number {
    return (now - this.#clockStartedAt) * CLOCK_RATE;
  }

  #end(task: string, end: RunEnd): void {
    const run = this.#runs.get(task)?.run ?? 0;
    this.#runs.delete(task);
    this.#endNumber += 1;
    this.#ends.push({ checkpoint: '', end, number: this.#endNumber, run, task });
    this.observer.onEnd(this.id, task, run, end);
  }

  #endAll(end: RunEnd): void {
    for (const task of [...this.#runs.keys()]) {
      this.#end(task, end);
    }
  }
}
