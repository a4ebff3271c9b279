import type {
  FleetConfig,
  Job,
  JobEntry,
  JobTable,
  Plan,
  StateRecord,
  StoredJobTasks,
  Wave,
} from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import {
  encodeTaskTombstone,
  JobRetention,
  PoolBalancer,
  Scheduler,
  WavePlanner,
} from '@sequoiaquay/core/jobs';
import type { JobWriter } from './job-writer';
import type { TermStart } from './leadership';
import type { NodeMetrics } from './node-metrics';
import type { NodePorts } from './node-ports';
import type { NodeSettings } from './node-settings';
import type { StreamTail } from './stream-tail';
import { WRITE_OUTCOME } from './job-writer';
import { earlierLeasesEndAt, LEASE_MS, MAX_HEARTBEAT_AGE_MS } from './lease-times';
import { MaintenanceLoop } from './maintenance-loop';
import { appendLimits, linkBytesPerS } from './node-settings';
import { OrderSender } from './order-sender';
import { PermitCache } from './permit-cache';
import { PlanTimer } from './plan-timer';
import { PoolReports } from './pool-reports';
import { maxContentBytes } from './record-bytes';
import { TermLog } from './term-log';
import { WorkerLoops } from './worker-loops';
import { WorkerRegistry } from './worker-registry';

/** Wave that the operators requested. */
export interface RequestedWave {
  /** Monotonic time at which this node read the request, in ms. */
  receivedAt: number;
  wave: Wave;
}

/** Dependencies of a term on its node. */
export interface TermContext {
  /** Returns the configuration in force; undefined until there is one. */
  cfg: () => FleetConfig | undefined;
  jobs: JobTable;
  jobsTail: StreamTail;
  log: Logger;
  metrics: NodeMetrics;
  /** Returns the age of this node's last stored heartbeat as leader, in ms. */
  ownHeartbeatAgeMs: () => number;
  ports: NodePorts;
  settings: NodeSettings;
  timers: TimerService;
  /** Requested waves by id. */
  waves: ReadonlyMap<number, RequestedWave>;
  writer: JobWriter;
}

/**
 * Age of its last stored heartbeat, in ms, from which on a leader gives no more orders for VMs; below it no
 * other node has acquired leadership yet.
 */
const MAX_VM_ORDER_HEARTBEAT_AGE_MS = 1200;

/** Interval between searches for ended jobs whose retention time has passed, in ms. */
const RETENTION_INTERVAL_MS = 5000;

/** Interval between ticks of the scheduler, in ms. */
const TICK_INTERVAL_MS = 100;

/** Delay of the append in flight, in ms, from which on no more tasks are assigned. */
const MAX_APPEND_DELAY_MS = 300;

/** Time for which a write of a job's state is retried, in ms. */
const STATE_WRITE_TIMEOUT_MS = 60_000;

const MS_PER_SECOND = 1000;

const SCHEDULER_SETTINGS = { refusedPauseMs: 1000, roomPauseMs: 150, setAsideAfter: 3, setAsideMs: 4000 };

/** One term of this node as leader: passes events to the scheduler and carries out its plans. */
export class Term {
  readonly #permitCache: PermitCache;
  readonly #balancer: PoolBalancer;
  readonly #log: Logger;
  readonly #workerLoops: WorkerLoops;
  #isRestored = false;
  readonly #planTimer: PlanTimer;
  /** Use of the pools, and the tasks that wait in them. */
  readonly pools: PoolReports;
  readonly #registry: WorkerRegistry;
  readonly #retention: JobRetention;
  readonly #scheduler: Scheduler;
  readonly #sender: OrderSender;
  readonly #termLog: TermLog;
  readonly #wavePlanner: WavePlanner;

  constructor(
    private readonly ctx: TermContext,
    private readonly start: TermStart,
    private readonly onLost: (reason: string) => void,
    private readonly signal: AbortSignal,
    /** Aborts when the leadership is to be handed over: nothing more is planned. */
    private readonly retire: AbortSignal,
  ) {
    const { ports, timers } = ctx;
    this.#log = ctx.log.child({ epoch: start.epoch });
    this.#termLog = new TermLog(
      ports.runs,
      start.runsEnd,
      onLost,
      timers,
      signal,
      appendLimits(ctx.settings),
    );
    this.#planTimer = new PlanTimer(
      this.#guard(() => {
        this.#plan();
      }),
      timers,
      signal,
    );
    const onAdviceSettled = (): void => {
      this.#scheduler.requestAssignment();
      this.#schedulePlan();
    };
    this.#permitCache = new PermitCache(ports.advice, onAdviceSettled, timers, this.#log, signal);
    const logDecision = (decision: string, data: Record<string, unknown>): void => {
      ctx.metrics.recordDecision(decision, data);
      this.#log.info(data, decision);
    };
    this.#scheduler = new Scheduler(
      {
        ...SCHEDULER_SETTINGS,
        earlierLeasesEndAt: earlierLeasesEndAt(start, this.#leaseMs),
        earlierLongestLeasesEndAt: earlierLeasesEndAt(start, ctx.settings.bounds.maxLeaseMs),
        maxLeaseMs: ctx.settings.bounds.maxLeaseMs,
        maxRecordBytes: maxContentBytes(appendLimits(ctx.settings)),
        remoteFactor: ctx.settings.bounds.remoteFactor,
      },
      logDecision,
      (queue, step, workers) => this.#permitCache.allowedWorkers(queue, step, workers),
    );
    this.pools = new PoolReports(this.#scheduler, timers, this.#log);
    this.#retention = new JobRetention(ctx.settings.bounds.stateKeptS * MS_PER_SECOND);
    const canExtendLeases = (): boolean => ctx.ownHeartbeatAgeMs() < MAX_HEARTBEAT_AGE_MS;
    this.#sender = new OrderSender(
      {
        acknowledged: (worker) => this.#workerLoops.acknowledged(worker),
        canExtendLeases,
        epoch: start.epoch,
        leaseMs: this.#leaseMs,
        link: ports.link,
        linkBytesPerS: linkBytesPerS(ctx.settings),
        metrics: ctx.metrics,
        onAnswer: (worker) => {
          this.#workerLoops.wakeUp(worker);
          this.#schedulePlan();
        },
        onFenced: onLost,
        permits: this.#permitCache,
        refreshClock: (worker) => this.#workerLoops.refreshClock(worker),
        scheduler: this.#scheduler,
        timers,
      },
      signal,
    );
    this.#workerLoops = new WorkerLoops(
      {
        canExtendLeases,
        epoch: start.epoch,
        leaseMs: this.#leaseMs,
        link: ports.link,
        log: this.#log,
        onChange: () => {
          this.#schedulePlan();
        },
        onFenced: onLost,
        scheduler: this.#scheduler,
        timers,
      },
      () => this.#sparePoolNames(),
      signal,
    );
    this.#registry = new WorkerRegistry({
      codec: ports.codec,
      log: this.#log,
      onChange: () => {
        this.#onFleetChange();
      },
      scheduler: this.#scheduler,
      stream: ports.registry,
      timers,
    });
    this.#balancer = new PoolBalancer(this.#scheduler, logDecision);
    this.#scheduler.setNearPlaceSources({ arrivals: (pool) => this.#balancer.arrivals(pool) });
    this.#wavePlanner = new WavePlanner(this.#scheduler, logDecision);
  }

  /** Applies a configuration. */
  onConfig(cfg: FleetConfig): void {
    this.#scheduler.onConfig(cfg);
    this.#onFleetChange();
  }

  /** Adds a requested wave to the plans; ignored until what earlier terms did for it is restored. */
  onWave(requested: RequestedWave): void {
    if (!this.#isRestored) {
      return;
    }
    this.#wavePlanner.onWave(requested.wave, requested.receivedAt);
  }

  /** Applies the submission or cancellation of a job; ignored until the state of earlier terms is restored. */
  onJob(id: string, entry: JobEntry): void {
    if (!this.#isRestored) {
      return;
    }
    const { timers } = this.ctx;
    if (entry.cancelled) {
      this.#scheduler.onCancel(id, timers.mono());
    } else if (entry.job !== undefined) {
      this.#scheduler.onJob(entry.job, [], timers.mono(), timers.now());
    }
    this.#schedulePlan();
  }

  /**
   * Restores the state of earlier terms, then acts as leader until the signal aborts, or until all records are
   * stored once nothing more is planned.
   */
  async run(): Promise<void> {
    await Promise.all([this.ctx.jobsTail.catchUp(this.signal), this.#registry.follow(this.signal)]);
    if (this.signal.aborted) {
      return;
    }
    this.#restore();
    this.ctx.timers.every(
      TICK_INTERVAL_MS,
      this.#guard(() => {
        this.#tick();
      }),
      this.signal,
    );
    this.ctx.timers.every(
      RETENTION_INTERVAL_MS,
      () => {
        this.#forgetExpiredJobs();
      },
      this.signal,
    );
    this.pools.run(this.signal);
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        void this.#termLog.append([]).then(() => {
          resolve();
        });
      };
      this.signal.addEventListener('abort', () => {
        resolve();
      });
      this.retire.addEventListener('abort', finish);
      if (this.retire.aborted) {
        finish();
      }
    });
  }

  // An unexpected error ends the term and not the process, which goes on to serve callers.
  #guard(step: () => void): () => void {
    return () => {
      try {
        step();
      } catch (error) {
        this.#log.error({ err: error }, 'unexpected error in a term');
        this.onLost('unexpected error');
      }
    };
  }

  get #leaseMs(): number {
    return Math.min(LEASE_MS, this.ctx.settings.bounds.maxLeaseMs);
  }

  // Called when workers or spare pools may have changed. Reports are requested only once the tasks are restored: the
  // end of an unknown task would be dropped.
  #onFleetChange(): void {
    if (this.#isRestored) {
      this.#workerLoops.startMissing();
      this.#planTimer.schedule();
    }
  }

  #sparePoolNames(): Set<string> {
    const pools = this.ctx.cfg()?.pools ?? [];
    return new Set(pools.filter((pool) => pool.spare).map((pool) => pool.name));
  }

  #restore(): void {
    const { jobs } = this.ctx;
    const cfg = this.ctx.cfg();
    if (cfg !== undefined) {
      this.#scheduler.onConfig(cfg);
    }
    const { tasks } = this.start;
    for (const job of inTakeOverOrder([...jobs.activeJobs()])) {
      this.#takeOver(job, tasks.take(job.id));
    }
    // Left-over records belong to jobs that have ended or are no longer known; they are deleted.
    const obsolete = [...tasks.names()];
    void this.#termLog.append(obsolete.map(encodeTaskTombstone));
    this.#isRestored = true;
    this.#onFleetChange();
    this.#startMaintenance();
    this.#log.info({ forgotten: obsolete.length, jobs: this.#scheduler.jobs.size }, 'jobs taken over');
  }

  // One job must not keep every node from leading.
  #takeOver(job: Job, { done, records }: StoredJobTasks): void {
    const { timers } = this.ctx;
    try {
      this.#scheduler.onJob(job, records, timers.mono(), timers.now(), done);
    } catch (error) {
      this.#log.error({ err: error, job: job.id }, 'job not taken over');
    }
  }

  #startMaintenance(): void {
    const { ownHeartbeatAgeMs, ports, settings, timers, waves } = this.ctx;
    const { codec, status, vms } = ports;
    if (vms === undefined) {
      return;
    }
    for (const record of this.start.otherRecords) {
      this.#wavePlanner.restore(record.key);
    }
    const loop = new MaintenanceLoop(
      {
        balancer: this.#balancer,
        encodeReport: (report) => codec.encodeReport(report),
        epoch: this.start.epoch,
        isLeadershipConfirmed: () =>
          !this.signal.aborted && !this.retire.aborted && ownHeartbeatAgeMs() < MAX_VM_ORDER_HEARTBEAT_AGE_MS,
        leaseDurationMs: settings.bounds.leaseDurationMs,
        log: this.#log,
        node: settings.name,
        onChange: () => {
          this.#schedulePlan();
        },
        planner: this.#wavePlanner,
        sparePoolNames: () => this.#sparePoolNames(),
        status,
        termLog: this.#termLog,
        timers,
        vms,
      },
      this.signal,
    );
    loop.run(this.start.otherRecords);
    for (const requested of waves.values()) {
      this.onWave(requested);
    }
  }

  #forgetExpiredJobs(): void {
    const { jobs, timers, writer } = this.ctx;
    for (const record of this.#retention.collectExpired(jobs, timers.mono())) {
      void writer.write(record, timers.mono() + RETENTION_INTERVAL_MS);
    }
  }

  #tick(): void {
    const { timers } = this.ctx;
    this.#scheduler.tick(timers.mono(), timers.now(), this.#registry.currentAt);
    this.#scheduler.requestAssignment();
    this.#planTimer.run();
  }

  #schedulePlan(): void {
    if (this.#isRestored) {
      this.#planTimer.schedule();
    }
  }

  #plan(): void {
    if (this.retire.aborted) {
      return;
    }
    const { timers } = this.ctx;
    const canAssign = this.#termLog.appendDelayMs < MAX_APPEND_DELAY_MS;
    const plan = this.#scheduler.plan(timers.mono(), timers.now(), canAssign);
    for (const stop of plan.stops) {
      void this.#sender.stop(stop);
    }
    for (const pace of plan.throttles) {
      void this.#sender.throttle(pace);
    }
    void this.#executePlan(plan, timers.mono());
  }

  async #executePlan(plan: Plan, plannedAt: number): Promise<void> {
    // An append that was in flight at the end of the term may still succeed.
    if (!(await this.#termLog.append(plan.records)) || this.signal.aborted) {
      return;
    }
    for (const { bornAt, number, worker } of plan.ends) {
      if (worker.info.bornAt === bornAt) {
        worker.endsStored = Math.max(worker.endsStored, number);
        this.#workerLoops.wakeUp(worker);
      }
    }
    for (const state of plan.states) {
      void this.#writeState(state);
    }
    for (const order of plan.starts) {
      this.ctx.metrics.recordRackStart(order.rackStart);
      this.#sender.start(order, plannedAt);
    }
  }

  async #writeState(record: StateRecord): Promise<void> {
    const { metrics, timers, writer } = this.ctx;
    const run = this.#scheduler.jobs.get(record.id);
    if (record.state === 'running' && run !== undefined) {
      metrics.recordFirstRun(run.job.queue, timers.now() - run.job.acceptedAt);
    }
    const outcome = await writer.writePersistently(record, timers.mono() + STATE_WRITE_TIMEOUT_MS);
    if (outcome === WRITE_OUTCOME.stored && record.state !== 'running' && !this.signal.aborted) {
      this.#scheduler.onEndStored(record.id);
      this.#schedulePlan();
    }
  }
}

// The jobs are read in blocks, the newest first. The rates of workspaces are computed over the times of acceptance, and
// a job that is added before many others takes a computation for each of them.
function inTakeOverOrder(jobs: Job[]): Job[] {
  const haveWorkspaces = jobs.some(({ workspace }) => workspace !== undefined);
  return haveWorkspaces ? jobs.sort((a, b) => a.acceptedAt - b.acceptedAt) : jobs;
}
