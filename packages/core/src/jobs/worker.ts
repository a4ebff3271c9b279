import type { Demand } from './job-spec';
import type { Task } from './task';

/** What a worker says of itself in the registry. */
export interface WorkerInfo {
  address: string;
  /** Start of this life of the worker, in ms since the epoch. */
  bornAt: number;
  capacity: Demand;
  draining: boolean;
  id: string;
  labels: string[];
  pool: string;
  rack: string;
  zone: string;
}

/** Slowest clock of a worker, as a share of true time. */
const SLOWEST_CLOCK = 0.98;

/** Added to the end of a lease, for the time between its end and the end of what ran under it, in ms. */
const LEASE_MARGIN_MS = 100;

/** Longest true time for which a lease lasts that a worker was given, in ms. */
export function longestLeaseMs(leaseMs: number): number {
  return leaseMs / SLOWEST_CLOCK + LEASE_MARGIN_MS;
}

/** Time after which an order without an answer is not carried out any more, in ms. */
const LATE_ORDER_MS = 15_000;

interface ClockReading {
  /** Monotonic time at which the answer with the reading arrived, in ms. */
  at: number;
  /** Clock of the worker, in ms. */
  value: number;
}

/** A worker and what the leader has assigned to it. */
export class Worker {
  #clock: ClockReading | undefined;
  /** Ends up to this number are stored; the worker may forget them. */
  endsStored = 0;
  /** Ends up to this number have been read. */
  endsRead = 0;
  /** The worker is emptied for maintenance: nothing new is assigned. */
  evacuating = false;
  /** Number of runs that failed since the last that did not. */
  failuresInRow = 0;
  /** The worker has answered an order of this term, so it refuses orders of earlier terms. */
  fenced = false;
  /** The registry no longer lists the worker. */
  gone = false;
  /** Monotonic time of the newest answer, in ms. */
  heardAt = -Infinity;
  info: WorkerInfo;
  /** Monotonic time after which nothing assigned to the worker can still run, in ms. */
  leaseEndsAt: number;
  /** Nothing is assigned before this monotonic time, in ms. */
  pausedUntil = 0;
  readonly reserved: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };
  readonly runs = new Map<string, Task>();
  /** The last order had no answer. */
  silent = false;
  #unanswered: { at: number; run: number; task: string }[] = [];

  constructor(info: WorkerInfo, leaseEndsAt: number) {
    this.info = info;
    this.leaseEndsAt = leaseEndsAt;
  }

  /** Reserves the room of a task that is assigned. */
  attach(task: Task): void {
    if (this.runs.has(task.name)) {
      return;
    }
    this.runs.set(task.name, task);
    this.#reserve(task, 1);
  }

  /** Frees the room of a task. */
  detach(task: Task): void {
    if (this.runs.delete(task.name)) {
      this.#reserve(task, -1);
    }
  }

  /** Whether a task with this demand has room. */
  fits(task: Task): boolean {
    const { cpuMilli, gpus, memoryMb } = task.step.spec.demand;
    const { capacity } = this.info;
    const cpuNeeded = task.step.spec.fillsIdle ? 0 : cpuMilli;
    return (
      this.reserved.cpuMilli + cpuNeeded <= capacity.cpuMilli &&
      this.reserved.memoryMb + memoryMb <= capacity.memoryMb &&
      this.reserved.gpus + gpus <= capacity.gpus
    );
  }

  /** Whether new tasks may be assigned at a monotonic time, in ms. */
  isOpen(now: number): boolean {
    return (
      this.fenced &&
      !this.gone &&
      !this.silent &&
      !this.evacuating &&
      !this.info.draining &&
      this.pausedUntil <= now
    );
  }

  /** Processor time that is not reserved, in thousandths of a core. */
  get freeCpuMilli(): number {
    return this.info.capacity.cpuMilli - this.reserved.cpuMilli;
  }

  /** Notes an order to start that had no answer: it may be carried out later. */
  noteUnanswered(order: { run: number; task: Task }, now: number): void {
    this.#unanswered.push({ at: now, run: order.run, task: order.task.name });
  }

  /** Orders without an answer that may still be carried out. */
  unanswered(now: number): { run: number; task: string }[] {
    this.#unanswered = this.#unanswered.filter((order) => now - order.at < LATE_ORDER_MS);
    return this.#unanswered.map(({ run, task }) => ({ run, task }));
  }

  /** Takes a clock reading from an answer that arrived at a monotonic time. */
  readClock(value: number, at: number): void {
    this.#clock = { at, value };
    this.heardAt = at;
  }

  /** Forgets what belonged to an earlier life of the worker. */
  restart(info: WorkerInfo): void {
    this.info = info;
    this.#clock = undefined;
    this.endsRead = 0;
    this.endsStored = 0;
    this.failuresInRow = 0;
    this.evacuating = false;
  }

  /**
   * Deadline for an order that is sent now, on the worker's clock, which keeps what it runs alive for a
   * time in ms. Undefined while the worker's clock is not known.
   */
  extendLease(now: number, leaseMs: number): number | undefined {
    const clock = this.#clock;
    if (clock === undefined) {
      return undefined;
    }
    const deadline = Math.floor(clock.value + (now - clock.at) + leaseMs);
    const endsAt = clock.at + longestLeaseMs(deadline - clock.value);
    this.leaseEndsAt = Math.max(this.leaseEndsAt, endsAt);
    return deadline;
  }

  #reserve(task: Task, sign: 1 | -1): void {
    const { cpuMilli, gpus, memoryMb } = task.step.spec.demand;
    this.reserved.cpuMilli += task.step.spec.fillsIdle ? 0 : sign * cpuMilli;
    this.reserved.memoryMb += sign * memoryMb;
    this.reserved.gpus += sign * gpus;
  }
}
