import type { Demand } from './demand';
import type { StepRun } from './step-run';
import type { Task } from './task';
import type { VmClaim, VmRisk } from './vm-claims';
import type { WorkerClosure } from './worker-closure';
import type { WorkspaceUse } from './workspace-use';
import { addTo } from './counts';
import { PendingAcknowledgement } from './end-acknowledgement';
import { FinishedMembers } from './finished-members';
import { LATE_ORDER_WINDOW_MS } from './late-order-window';
import { OrphanedRuns } from './orphaned-runs';
import { CLOSURE } from './worker-closure';

/** Entry of a worker in the registry. */
export interface WorkerInfo {
  address: string;
  /** Start time of the incarnation, in ms since the epoch. */
  bornAt: number;
  capacity: Demand;
  draining: boolean;
  id: string;
  labels: string[];
  pool: string;
  rack: string;
  zone: string;
}

/** Minimum rate of a worker's clock, as a fraction of real time. */
const MIN_CLOCK_RATE = 0.98;

/** Resolution of the readings of a worker's clock, in ms. */
const CLOCK_RESOLUTION_MS = 1;

/** Margin for the time between the end of a lease and the end of the runs under it, in ms. */
const LEASE_MARGIN_MS = 100;

/**
 * Returns the longest real time until all runs under a lease have ended, in ms.
 *
 * @param leaseMs Duration of the lease on the worker's clock, in ms.
 */
export function longestLeaseMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + LEASE_MARGIN_MS;
}

/** Age from which on a reading of a worker's clock is renewed before a lease is granted by it, in ms. */
const MAX_CLOCK_AGE_MS = 10_000;

/** Longest time from the start of a call that extends the lease until the worker receives it, in ms. */
const MAX_CALL_MS = 1700;

/** Longest time from the start of an incarnation until its entry can be read while the registry is current, in ms. */
const MAX_ENTRY_DELAY_MS = 2000;

/** Resolution of sums of demands: parts of a thousandth of a core, of an accelerator or of a MB. */
const SUMS_PER_UNIT = 1e6;

/** Entry in the registry of an incarnation that is not known to run. */
export interface UnconfirmedEntry {
  info: WorkerInfo;
  /** Monotonic time at which it was read, in ms. */
  readAt: number;
}

/** End of the connections to a worker, as when its process ends. */
export interface Disconnection {
  /** Monotonic time of the first call that found the connection closed or refused, in ms. */
  at: number;
  /** Whether the worker was starting tasks then. */
  wasStarting: boolean;
}

/** What tells the response of the known incarnation to a call from that of a later one. */
export interface IncarnationProof {
  /** Monotonic time before which no later incarnation has started, in ms. */
  aliveAt: number;
  bornAt: number;
  /** Lowest reading of its clock, in ms. */
  minClockMs: number;
}

interface ClockReading {
  /** Monotonic time of the request for the report with the reading, in ms. */
  askedAt: number;
  /** Monotonic time at which the reading arrived, in ms. */
  at: number;
  /** Reading of the worker's clock, in ms. */
  value: number;
}

/** Worker, with the runs that the leader has assigned to it. */
export class Worker {
  #clock: ClockReading | undefined;
  /** Monotonic time at which the lease was last extended, in ms. */
  #leaseExtendedAt = -Infinity;
  /** Number of its best-effort runs. */
  bestEffortCount = 0;
  /** Processor time that is reserved by tasks that end, in thousandths of a core. */
  endingCpuMilli = 0;
  /** Ends up to this sequence number have been acknowledged to the worker. */
  endsAcknowledged = 0;
  /** Ends up to this sequence number are stored; the worker may remove them. */
  endsStored = 0;
  /** Ends up to this sequence number have been read from reports. */
  endsRead = 0;
  /** Acknowledgement that the worker may not have carried out yet. */
  readonly acknowledgement = new PendingAcknowledgement();
  /** Claims to the VM of the worker, by holder; no new tasks are assigned while there are any. */
  readonly vmClaims = new Map<string, VmClaim>();
  /** Orders for the VM of the worker that may still be carried out although the worker is open, by holder. */
  readonly vmRisks = new Map<string, VmRisk>();
  /** Set from a closed or refused connection until the next report. */
  disconnection: Disconnection | undefined;
  /** Ids of the jobs whose runs are the consecutive failed ones. */
  readonly failedJobs = new Set<string>();
  readonly finishedMembers: FinishedMembers;
  /** Number of consecutive failed runs. */
  failuresInRow = 0;
  /** Suspected task for which the worker starts no others, so that it can start alone. */
  heldFor: Task | undefined;
  /** Monotonic time until which the worker starts no tasks but `heldFor`, in ms. */
  heldUntil = 0;
  /** Whether the tasks that may have crashed this incarnation have been recorded. */
  isCrashRecorded = false;
  /** Whether the worker has answered a call of this term, so that it refuses orders of earlier terms. */
  isFenced = false;
  /** Whether the worker is no longer in the registry. */
  isDeregistered = false;
  /** Task that was last started here alone because it is suspected of crashing workers. */
  isolatedTask: Task | undefined;
  /** Monotonic time at which the current incarnation became known, in ms. */
  incarnationKnownAt = -Infinity;
  /** Number of its long-running runs. */
  longRunningCount = 0;
  /** Number of its runs that have a latency target. */
  servingCount = 0;
  readonly #countByStep = new Map<StepRun, number>();
  /** Monotonic time of the newest report, in ms. */
  lastReportAt = -Infinity;
  info: WorkerInfo;
  readonly orphans: OrphanedRuns;
  /** Monotonic time after which no run assigned to the worker can still be running, in ms. */
  leaseEndsAt: number;
  /** Monotonic time before which no tasks are assigned, because of a refusal or a quarantine, in ms. */
  pausedUntil = 0;
  readonly reserved: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };
  readonly runs = new Map<string, Task>();
  /** Start time of the previous incarnation, in ms since the epoch; undefined if none is known. */
  previousBornAt: number | undefined;
  /** Whether an entry of the current incarnation has been read; a report may show it before. */
  isEntryRead = true;
  /** Newest entry, if its incarnation may have run before the known one: the next report tells which of them runs. */
  unconfirmedEntry: UnconfirmedEntry | undefined;
  /** Whether the last call to the worker got no answer. */
  isUnresponsive = false;
  /** Monotonic time at which the last call got no answer, in ms. */
  lastMissedAt = -Infinity;
  #unanswered: { at: number; run: number; task: string }[] = [];

  /** Its runs count in the use of their workspaces, if it is given. */
  constructor(
    info: WorkerInfo,
    leaseEndsAt: number,
    private readonly workspaceUse?: WorkspaceUse,
  ) {
    this.info = info;
    this.leaseEndsAt = leaseEndsAt;
    this.finishedMembers = new FinishedMembers(workspaceUse);
    this.orphans = new OrphanedRuns(workspaceUse);
  }

  /** Reserves the capacity that a task requires. */
  attach(task: Task): void {
    if (this.runs.has(task.name)) {
      return;
    }
    this.runs.set(task.name, task);
    this.#reserve(task, 1);
    this.#count(task.step, 1);
    this.workspaceUse?.add(task.step);
  }

  /** Frees the capacity that is reserved for a task. */
  detach(task: Task): void {
    if (this.runs.delete(task.name)) {
      this.#reserve(task, -1);
      this.#count(task.step, -1);
      this.workspaceUse?.remove(task.step);
    }
  }

  /** Returns the number of its runs that belong to a step. */
  countOf(step: StepRun): number {
    return this.#countByStep.get(step) ?? 0;
  }

  /** Whether the free capacity is enough for a task. */
  hasCapacityFor(task: Task): boolean {
    return this.missingResource(task) === undefined;
  }

  /** Returns a resource of which the free capacity is not enough for a task; undefined if it is enough. */
  missingResource(task: Task): keyof Demand | undefined {
    const { cpuMilli, gpus, memoryMb } = task.step.spec.demand;
    const { capacity } = this.info;
    const cpuNeeded = task.step.spec.fillsIdle ? 0 : cpuMilli;
    if (this.reserved.cpuMilli + cpuNeeded > capacity.cpuMilli) {
      return 'cpuMilli';
    }
    if (this.reserved.memoryMb + memoryMb > capacity.memoryMb) {
      return 'memoryMb';
    }
    return this.reserved.gpus + gpus > capacity.gpus ? 'gpus' : undefined;
  }

  /** Returns a claim to the VM of the worker at a monotonic time in ms; undefined if there is none. */
  vmClaim(now: number): VmClaim | undefined {
    return this.vmClaims.size === 0
      ? undefined
      : [...this.vmClaims.values()].find(({ until }) => until > now);
  }

  /** Whether the VM may be taken without notice at a monotonic time in ms, by an order that was given up. */
  isAtRisk(now: number): boolean {
    return this.vmRisks.size > 0 && [...this.vmRisks.values()].some(({ until }) => until > now);
  }

  /** Whether new tasks can be assigned at a monotonic time in ms; what orphaned runs use is not known. */
  isAssignable(now: number): boolean {
    return this.closure(now) === undefined;
  }

  /** Returns why no new tasks are assigned at a monotonic time in ms; undefined if they can be. */
  closure(now: number): WorkerClosure | undefined {
    if (this.isDeregistered) {
      return { reason: CLOSURE.deregistered };
    }
    if (this.isUnresponsive) {
      return { reason: CLOSURE.silent };
    }
    if (!this.isFenced) {
      return { reason: CLOSURE.notAsked };
    }
    const claim = this.vmClaim(now);
    if (claim !== undefined) {
      return { detail: `${claim.holder}: ${claim.reason}`, reason: CLOSURE.evacuating };
    }
    if (this.info.draining) {
      return { reason: CLOSURE.draining };
    }
    if (this.orphans.size > 0) {
      return { detail: this.orphans.size, reason: CLOSURE.orphans };
    }
    const lateForMs = this.acknowledgement.lateForMs(now);
    if (lateForMs > 0) {
      return { detail: Math.round(lateForMs), reason: CLOSURE.acknowledgedLate };
    }
    if (this.acknowledgement.isBlocked(now)) {
      return { reason: CLOSURE.acknowledging };
    }
    return this.pausedUntil > now
      ? { detail: Math.round(this.pausedUntil - now), reason: CLOSURE.paused }
      : undefined;
  }

  /**
   * Whether the assigned tasks exceed the capacity, which may have become smaller since their assignment, or
   * may exceed it because of orphaned runs.
   */
  get isOvercommitted(): boolean {
    const { reserved } = this;
    const { capacity } = this.info;
    return (
      this.orphans.size > 0 ||
      reserved.cpuMilli > capacity.cpuMilli ||
      reserved.memoryMb > capacity.memoryMb ||
      reserved.gpus > capacity.gpus
    );
  }

  /** Unreserved processor time, in thousandths of a core. */
  get freeCpuMilli(): number {
    return this.info.capacity.cpuMilli - this.reserved.cpuMilli;
  }

  /** Whether ends are stored that are not acknowledged to the worker. */
  get hasUnacknowledgedEnds(): boolean {
    return this.endsAcknowledged < this.endsStored;
  }

  /** Whether an order to start a run has been sent and has no outcome yet. */
  get hasStartInFlight(): boolean {
    return [...this.runs.values()].some(({ isOrderSent, phase }) => phase === 'starting' && isOrderSent);
  }

  /**
   * Whether no later incarnation than the known one can have begun a run by an order of this term, nor by one of an
   * earlier term once the known one has refused those.
   */
  get hasOnlyProvenRuns(): boolean {
    return [...this.runs.values()].every(
      ({ isOrderSent, isRestored, phase, provenBornAt }) =>
        isRestored || provenBornAt === this.info.bornAt || (phase === 'starting' && !isOrderSent),
    );
  }

  /** Records an unanswered order to start, which the worker may still execute later. */
  addUnansweredOrder(order: { run: number; task: Task }, now: number): void {
    this.#unanswered.push({ at: now, run: order.run, task: order.task.name });
  }

  /** Whether any incarnation of the worker may still carry out a call that got no answer, as of the last tick. */
  get mayCarryOutLateCalls(): boolean {
    return this.acknowledgement.isPending || this.#unanswered.length > 0;
  }

  /** Forgets the calls that got no answer and are no longer carried out at a monotonic time in ms. */
  expireLateCalls(now: number): void {
    this.acknowledgement.expire(now);
    this.unansweredOrders(now);
  }

  /** Returns the unanswered orders that the worker may still execute. */
  unansweredOrders(now: number): { run: number; task: string }[] {
    this.#unanswered = this.#unanswered.filter((order) => now - order.at < LATE_ORDER_WINDOW_MS);
    return this.#unanswered.map(({ run, task }) => ({ run, task }));
  }

  /** Records a clock reading from a report that was requested and arrived at monotonic times in ms. */
  updateClock(value: number, askedAt: number, at: number): void {
    this.#clock = { askedAt, at, value };
    this.lastReportAt = at;
  }

  /** Whether the reading of the clock is recent enough to grant a whole lease by it at a monotonic time in ms. */
  isClockRecent(now: number): boolean {
    return this.#clock !== undefined && now - this.#clock.at <= MAX_CLOCK_AGE_MS;
  }

  /** Forgets a clock reading that has proved wrong: the worker has to report before it gets further orders. */
  forgetClock(): void {
    this.#clock = undefined;
    this.isFenced = false;
  }

  /**
   * Returns what tells the response of the known incarnation to a call at a monotonic time in ms from that of a later
   * one, whose clock has started since. Undefined while the worker's clock is not known.
   */
  proofAt(now: number): IncarnationProof | undefined {
    const clock = this.#clock;
    if (clock === undefined) {
      return undefined;
    }
    const minClockMs = slowestReading(clock, now) - CLOCK_RESOLUTION_MS;
    return { aliveAt: clock.askedAt, bornAt: this.info.bornAt, minClockMs };
  }

  /**
   * Returns the monotonic time after which no run is left, in ms, if another incarnation than the known one has begun
   * it: the clock of that one starts anew, so that a deadline for the known one lasts for `maxLeaseMs` there.
   */
  longestLeaseEndsAt(maxLeaseMs: number): number {
    return Math.max(this.leaseEndsAt, this.#leaseExtendedAt + MAX_CALL_MS + longestLeaseMs(maxLeaseMs));
  }

  /**
   * Whether the registry shows that no incarnation but the known one has received a call that extends the lease: it was
   * current at a monotonic time, in ms, at which the entry of another one would have been there.
   */
  isOnlyIncarnation(registryCurrentAt: number): boolean {
    const receivedBy = this.#leaseExtendedAt + MAX_CALL_MS;
    return this.unconfirmedEntry === undefined && registryCurrentAt >= receivedBy + MAX_ENTRY_DELAY_MS;
  }

  /**
   * Handles a response of another incarnation than the known one, at a monotonic time in ms: the worker has to report
   * before it gets further orders.
   */
  onUnknownIncarnation(now: number, maxLeaseMs: number): void {
    this.forgetClock();
    this.leaseEndsAt = Math.max(this.leaseEndsAt, now + longestLeaseMs(maxLeaseMs));
  }

  /** Resets the state that belongs to the previous incarnation of the worker, at a monotonic time in ms. */
  resetForRestart(info: WorkerInfo, now: number, maxLeaseMs: number): void {
    const endsAt = this.leaseEndsAt > now ? now + longestLeaseMs(maxLeaseMs) : -Infinity;
    this.leaseEndsAt = Math.max(endsAt, this.longestLeaseEndsAt(maxLeaseMs));
    if (this.leaseEndsAt > now) {
      this.leaseEndsAt = Math.max(this.leaseEndsAt, now + longestLeaseMs(maxLeaseMs));
    }
    this.previousBornAt = this.info.bornAt;
    this.incarnationKnownAt = now;
    this.info = info;
    this.unconfirmedEntry = undefined;
    this.#clock = undefined;
    this.disconnection = undefined;
    this.isCrashRecorded = false;
    this.acknowledgement.cancel();
    this.endsAcknowledged = 0;
    this.endsRead = 0;
    this.endsStored = 0;
    this.failuresInRow = 0;
    this.failedJobs.clear();
    this.pausedUntil = 0;
    this.finishedMembers.clear();
    this.orphans.clear();
  }

  /**
   * Extends the lease of the worker's runs and returns the deadline of the lease on the worker's clock, to be
   * sent with an order. Returns undefined while the worker's clock is not known. The clock counts as the slowest since
   * its reading, so that no lease lasts for longer than a later leader waits; a faster clock ends it sooner.
   *
   * @param now Monotonic time, in ms.
   * @param leaseMs Duration of the lease, in ms.
   */
  extendLease(now: number, leaseMs: number): number | undefined {
    const clock = this.#clock;
    if (clock === undefined) {
      return undefined;
    }
    const deadline = Math.floor(slowestReading(clock, now) + leaseMs);
    this.leaseEndsAt = Math.max(this.leaseEndsAt, now + longestLeaseMs(leaseMs));
    this.#leaseExtendedAt = now;
    return deadline;
  }

  #count(step: StepRun, change: 1 | -1): void {
    const { fillsIdle, longRunning, tailTargetMs } = step.spec;
    addTo(this.#countByStep, step, change);
    this.bestEffortCount += fillsIdle ? change : 0;
    this.longRunningCount += longRunning ? change : 0;
    this.servingCount += tailTargetMs > 0 ? change : 0;
  }

  #reserve(task: Task, sign: 1 | -1): void {
    const { demand, fillsIdle, longRunning } = task.step.spec;
    const { gpus, memoryMb } = demand;
    const cpuMilli = fillsIdle ? 0 : sign * demand.cpuMilli;
    this.reserved.cpuMilli = roundSum(this.reserved.cpuMilli + cpuMilli);
    this.endingCpuMilli = roundSum(this.endingCpuMilli + (longRunning ? 0 : cpuMilli));
    this.reserved.memoryMb = roundSum(this.reserved.memoryMb + sign * memoryMb);
    this.reserved.gpus = roundSum(this.reserved.gpus + sign * gpus);
  }
}

/** Returns the lowest reading that a worker's clock may have at a monotonic time in ms. */
function slowestReading(clock: ClockReading, now: number): number {
  return clock.value + MIN_CLOCK_RATE * (now - clock.at);
}

// What is reserved and freed again must leave nothing, also of fractions that have no exact binary form.
function roundSum(sum: number): number {
  return Math.round(sum * SUMS_PER_UNIT) / SUMS_PER_UNIT;
}
