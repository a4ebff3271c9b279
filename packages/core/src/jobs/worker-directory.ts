import type { Demand } from './demand';
import type { TaskRecord } from './run-record';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { WorkerInfo } from './worker';
import type { WorkerLossHandler } from './worker-loss-handler';
import type { WorkerReport } from './worker-report';
import { DECISION } from './scheduler-output';
import { Worker } from './worker';

/** Placeholder for the `bornAt` of a worker that is known only from stored assignments. */
const UNKNOWN_BORN_AT = 0;

/** Time after its start within which an earlier leader may not have met an incarnation, in ms. */
const RECENT_START_MS = 20_000;

/** What showed a restart, as it appears in the log. */
const RESTART_SOURCE = { entry: 'entry', report: 'report' } as const;

/** Evidence of the incarnation of a worker. */
interface IncarnationEvidence {
  /** Age of the request for the report, in ms; undefined for an entry. */
  ageMs?: number;
  info: WorkerInfo;
  /** Tells which runs the incarnation has probably been given before it was known, if it is a new one. */
  mayHaveRun: (task: Task) => boolean;
  source: (typeof RESTART_SOURCE)[keyof typeof RESTART_SOURCE];
}

/** Capacity of a worker that has not stated any. */
const NO_CAPACITY: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };

/** Keeps the workers and their incarnations, from the registry, their reports and stored assignments. */
export class WorkerDirectory {
  constructor(
    private readonly ctx: SchedulerContext,
    private readonly losses: WorkerLossHandler,
  ) {}

  /**
   * Adds or updates a worker from its entry in the registry. One at the key of a worker that names a pool which is
   * neither that worker's nor configured comes from another writer. It says nothing about the worker, so it only closes
   * it for new tasks until its own entry is back.
   */
  register(info: WorkerInfo, now: number): void {
    const known = this.ctx.workers.get(info.id);
    const isNamed = this.ctx.cfg === undefined || this.ctx.getPoolConfig(info.pool) !== undefined;
    if (known !== undefined && !isNamed && isOfOtherPool(info, known)) {
      this.deregister(info.id);
      return;
    }
    if (isNamed) {
      this.losses.handleEntry(info, now);
    }
    if (known === undefined) {
      const worker = new Worker(info, now, this.ctx.workspaceUse);
      this.ctx.workers.set(info.id, worker);
      this.ctx.getOrCreatePool(info.pool).workers.add(worker);
      this.ctx.log(DECISION.workerFound, { bornAt: info.bornAt, pool: info.pool, worker: info.id });
      return;
    }
    this.#update(known, info, now);
  }

  /** Handles the removal of a worker from the registry. */
  deregister(id: string): void {
    const worker = this.ctx.workers.get(id);
    if (worker === undefined || worker.isDeregistered) {
      return;
    }
    worker.isDeregistered = true;
    worker.unconfirmedEntry = undefined;
    this.ctx.log(DECISION.workerRemoved, { runs: worker.runs.size, worker: id });
    this.removeIfIdle(worker);
  }

  /**
   * Applies a restart that a report shows. Returns false if the report is not of the current incarnation of a known
   * worker; it was requested at the monotonic time `askedAt`, in ms.
   */
  applyReportedIncarnation(worker: Worker, report: WorkerReport, askedAt: number, now: number): boolean {
    if (!this.isKept(worker)) {
      return false;
    }
    const entry = worker.unconfirmedEntry;
    // A report that was requested before an entry was read may be of the incarnation before it.
    if (entry !== undefined && askedAt < entry.readAt) {
      return false;
    }
    worker.unconfirmedEntry = undefined;
    if (report.bornAt === worker.info.bornAt) {
      return true;
    }
    // A report that was requested before the current incarnation became known may be of an earlier one.
    if (askedAt < worker.incarnationKnownAt) {
      return false;
    }
    const isEntryRead = entry?.info.bornAt === report.bornAt;
    const info = isEntryRead ? entry.info : this.#entryOfIncarnation(worker.info, report.bornAt);
    const mayHaveRun = (task: Task): boolean => listsRun(report, task) || isAnswerUnproven(task);
    const source = RESTART_SOURCE.report;
    this.#applyInfo(worker, { ageMs: Math.round(now - askedAt), info, mayHaveRun, source }, now);
    worker.isEntryRead = isEntryRead;
    return true;
  }

  /**
   * Returns the worker of a stored assignment; undefined if the task is not assigned. A worker that is not in the
   * registry may still run its tasks.
   */
  findOrAdd(record: TaskRecord, wallNow: number): Worker | undefined {
    if (record.state !== 'assigned') {
      return undefined;
    }
    const { earlierLeasesEndAt, earlierLongestLeasesEndAt } = this.ctx.settings;
    const known = this.ctx.workers.get(record.workerId);
    if (known !== undefined) {
      // The earlier leader may have sent the run to an incarnation that it had not met.
      const isRecent = wallNow - known.info.bornAt < RECENT_START_MS;
      const longestEndsAt = isRecent ? earlierLongestLeasesEndAt : -Infinity;
      known.leaseEndsAt = Math.max(known.leaseEndsAt, earlierLeasesEndAt, longestEndsAt);
      return known;
    }
    const info: WorkerInfo = {
      address: '',
      bornAt: UNKNOWN_BORN_AT,
      capacity: NO_CAPACITY,
      draining: true,
      id: record.workerId,
      labels: [],
      pool: '',
      rack: '',
      zone: '',
    };
    const worker = new Worker(info, this.ctx.settings.earlierLeasesEndAt, this.ctx.workspaceUse);
    worker.isDeregistered = true;
    this.ctx.workers.set(info.id, worker);
    return worker;
  }

  /** Whether a worker is known; one that was dropped may have been registered again under its id, as another object. */
  isKept(worker: Worker): boolean {
    return this.ctx.workers.get(worker.info.id) === worker;
  }

  /**
   * Removes a worker that is no longer in the registry once it has no runs, nor any that may go on uncounted, and no call
   * that another incarnation under its id may carry out.
   */
  removeIfIdle(worker: Worker): void {
    const hasRuns = worker.runs.size > 0 || worker.finishedMembers.size > 0;
    const isNeeded = hasRuns || worker.mayCarryOutLateCalls;
    if (worker.isDeregistered && !isNeeded && this.isKept(worker)) {
      this.ctx.workers.delete(worker.info.id);
      worker.orphans.clear();
      this.ctx.getOrCreatePool(worker.info.pool).workers.delete(worker);
    }
  }

  #update(worker: Worker, info: WorkerInfo, now: number): void {
    if (worker.isDeregistered && worker.runs.size === 0) {
      // It was only kept for its late calls: it has to be asked like a new one.
      worker.isUnresponsive = false;
      worker.isFenced = false;
    }
    worker.isDeregistered = false;
    const { bornAt } = worker.info;
    // Entries are read in their order: after a report has shown an incarnation, those before its own are old ones.
    const isUncertain = info.bornAt < bornAt || (info.bornAt > bornAt && !worker.isEntryRead);
    const isPrevious = info.bornAt === worker.previousBornAt;
    if (isUncertain || isPrevious) {
      // Either an old entry or one of a new incarnation whose clock may be set back: the next report tells which.
      worker.unconfirmedEntry = { info, readAt: now };
    } else {
      worker.unconfirmedEntry = undefined;
      const mayHaveRun = (task: Task): boolean => mayRunUnreported(worker, task);
      this.#applyInfo(worker, { info, mayHaveRun, source: RESTART_SOURCE.entry }, now);
      worker.isEntryRead = true;
    }
    if (isUncertain && !isPrevious) {
      worker.info = { ...worker.info, address: info.address };
      worker.isFenced = false;
    }
  }

  #applyInfo(worker: Worker, { ageMs, info, mayHaveRun, source }: IncarnationEvidence, now: number): void {
    const isUnknown = worker.info.bornAt === UNKNOWN_BORN_AT;
    const restarted = !isUnknown && info.bornAt !== worker.info.bornAt;
    if (info.pool !== worker.info.pool) {
      this.ctx.getOrCreatePool(worker.info.pool).workers.delete(worker);
      this.ctx.getOrCreatePool(info.pool).workers.add(worker);
    }
    if (!restarted) {
      this.#logResize(worker, info);
      worker.info = info;
      return;
    }
    const { bornAt, id } = info;
    const silent = worker.isUnresponsive;
    const runs = worker.runs.size;
    const unproven = [...worker.runs.values()].filter((task) => task.provenBornAt === undefined).length;
    this.ctx.log(DECISION.workerRestarted, { ageMs, bornAt, runs, silent, source, unproven, worker: id });
    this.losses.releaseAfterRestart(worker, now, mayHaveRun);
    this.ctx.vmClaims.clear(worker, now);
    worker.resetForRestart(info, now, this.ctx.settings.maxLeaseMs);
    worker.isFenced = false;
    // The new incarnation has received no order to stop and would execute a delayed order to start.
    for (const order of worker.unansweredOrders(now)) {
      this.ctx.pending.stops.push({ ...order, worker });
    }
  }

  // A new incarnation may have a smaller capacity. One that does not refuse what exceeds it gets no tasks until its
  // own entry states it.
  #entryOfIncarnation(info: WorkerInfo, bornAt: number): WorkerInfo {
    const refusesExcess = this.ctx.getPoolConfig(info.pool)?.enforcesCapacity === true;
    const keepsCapacity = refusesExcess || info.bornAt === UNKNOWN_BORN_AT;
    return { ...info, bornAt, capacity: keepsCapacity ? info.capacity : NO_CAPACITY, draining: false };
  }

  #logResize({ info: { capacity: before }, reserved }: Worker, { capacity, id }: WorkerInfo): void {
    if (
      capacity.cpuMilli !== before.cpuMilli ||
      capacity.memoryMb !== before.memoryMb ||
      capacity.gpus !== before.gpus
    ) {
      this.ctx.log(DECISION.workerResized, { before, capacity, reserved: { ...reserved }, worker: id });
    }
  }
}

// A worker that is known only from stored assignments has no pool yet.
function isOfOtherPool({ pool }: WorkerInfo, { info }: Worker): boolean {
  return info.bornAt !== UNKNOWN_BORN_AT && pool !== info.pool;
}

function listsRun(report: WorkerReport, task: Task): boolean {
  return [...report.running, ...report.ended].some((row) => row.task === task.name && row.run === task.run);
}

// An earlier leader may have known an incarnation that this one has not met.
function mayRunUnreported(worker: Worker, task: Task): boolean {
  if (task.isRestored && worker.lastReportAt === -Infinity) {
    return worker.disconnection === undefined;
  }
  return isAnswerUnproven(task);
}

// Whether an incarnation that is not known has answered the order of a run.
function isAnswerUnproven({ phase, provenBornAt }: Task): boolean {
  return phase === 'running' && provenBornAt === undefined;
}
