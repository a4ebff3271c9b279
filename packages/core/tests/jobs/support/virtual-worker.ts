import type { EndRow, RunEnd, StartAnswer, WorkerInfo, WorkerReport } from '../../../src/jobs';
import { RUN_END, START_ANSWER } from '../../../src/jobs';
import { worker } from './jobs';

interface VirtualRun {
  endsAt: number;
  fails: boolean;
  run: number;
}

/** What a world checks when a run begins or ends. */
export interface RunObserver {
  onEnd: (workerId: string, task: string, run: number, end: RunEnd) => void;
  /** The worker learned that the end of a done run is stored, with no lapse of its lease in between. */
  onNoted: (task: string, run: number) => void;
  onStart: (workerId: string, task: string, run: number) => void;
}

/** Slowest clock that a worker may have, as a share of true time. */
const CLOCK_RATE = 0.98;

/** A worker that keeps runs, ends, leases and fencing tokens as a real one does. */
export class VirtualWorker {
  #bornAt: number;
  #endNumber = 0;
  #ends: EndRow[] = [];
  #epoch = 0;
  #lapsed = new Set<number>();
  #highest = new Map<string, number>();
  #leaseUntil = 0;
  readonly #runs = new Map<string, VirtualRun>();

  constructor(
    readonly id: string,
    private readonly room: number,
    private readonly observer: RunObserver,
    now: number,
  ) {
    this.#bornAt = now + 1;
  }

  /** Entry in the registry. */
  get info(): WorkerInfo {
    const capacity = { cpuMilli: this.room * 1000, gpus: 0, memoryMb: this.room * 100 };
    return worker(this.id, { bornAt: this.#bornAt, capacity });
  }

  /** Lets runs end and leases lapse. */
  advance(now: number): void {
    for (const [task, run] of [...this.#runs]) {
      if (run.endsAt <= now) {
        this.#end(task, run.fails ? RUN_END.failed : RUN_END.done);
      }
    }
    if (this.#clock(now) > this.#leaseUntil) {
      this.#ends.forEach((row) => this.#lapsed.add(row.number));
      this.#endAll(RUN_END.lapsed);
    }
  }

  /** Ends this life and begins another, which knows nothing of before. */
  restart(now: number): void {
    for (const [task, run] of this.#runs) {
      this.observer.onEnd(this.id, task, run.run, RUN_END.lapsed);
    }
    this.#runs.clear();
    this.#ends = [];
    this.#endNumber = 0;
    this.#lapsed = new Set();
    this.#epoch = 0;
    this.#highest = new Map();
    this.#bornAt = now + 1;
  }

  /** Carries out an order to start. */
  start(
    task: string,
    run: number,
    epoch: number,
    deadline: number,
    now: number,
    length: number,
  ): StartAnswer {
    if (epoch < this.#epoch) {
      return START_ANSWER.fenced;
    }
    this.#epoch = epoch;
    if (this.#runs.get(task)?.run === run) {
      return START_ANSWER.started;
    }
    if (run <= (this.#highest.get(task) ?? 0)) {
      return START_ANSWER.stale;
    }
    if (deadline <= this.#clock(now)) {
      return START_ANSWER.refused;
    }
    if (this.#runs.size >= this.room) {
      return START_ANSWER.room;
    }
    this.#leaseUntil = Math.max(this.#leaseUntil, deadline);
    this.#runs.set(task, { endsAt: now + length, fails: length % 7 === 0, run });
    this.#highest.set(task, run);
    this.observer.onStart(this.id, task, run);
    return START_ANSWER.started;
  }

  /** Carries out an order to stop; false when it is of an earlier term. */
  stop(task: string, run: number, epoch: number): boolean {
    if (epoch < this.#epoch) {
      return false;
    }
    this.#epoch = epoch;
    if (this.#runs.get(task)?.run === run) {
      this.#end(task, RUN_END.stopped);
    }
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    return true;
  }

  /** Answers what runs and what has ended; undefined to orders of an earlier term. */
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
    this.#leaseUntil = Math.max(this.#leaseUntil, deadline ?? 0);
    for (const row of this.#ends.filter((item) => item.number <= endsStored && item.end === RUN_END.done)) {
      if (!this.#lapsed.has(row.number)) {
        this.observer.onNoted(row.task, row.run);
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
    return { bornAt: this.#bornAt, clockMs: this.#clock(now), ended: [...this.#ends], running };
  }

  #clock(now: number): number {
    return (now - this.#bornAt) * CLOCK_RATE;
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
