import type {
  FleetConfig,
  JobEntry,
  JobTable,
  Plan,
  StateRecord,
  TaskRecord,
  Wave,
} from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import {
  encodeTaskTombstone,
  isEnded,
  JOB_RECORD,
  JobRetention,
  longestLeaseMs,
  parseTaskName,
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
import { AdviceBook } from './advice-book';
import { WRITE_OUTCOME } from './job-writer';
import { MaintenanceLoop } from './maintenance-loop';
import { OrderSender } from './order-sender';
import { TermLog } from './term-log';
import { WorkerLoops } from './worker-loops';
import { WorkerRegistry } from './worker-registry';

/** A wave and the monotonic time at which this node heard of it, in ms. */
export interface AskedWave {
  at: number;
  wave: Wave;
}

/** What a term works with. */
export interface TermContext {
  cfg: () => FleetConfig | undefined;
  jobs: JobTable;
  jobsTail: StreamTail;
  log: Logger;
  metrics: NodeMetrics;
  ports: NodePorts;
  /** Time since this node last proved that it leads, in ms. */
  proofAge: () => number;
  settings: NodeSettings;
  timers: TimerService;
  /** Waves that were asked for. */
  waves: ReadonlyMap<number, AskedWave>;
  writer: JobWriter;
}

/** Lease of runs on workers, in ms: longer than it takes another node to take over. */
const LEASE_MS = 4200;

/** Time without proof of the lead after which a leader keeps no run alive, in ms: most outages are shorter. */
const FRESH_MS = 4500;

/** Age of the proof above which a leader gives no orders for VMs, in ms: no other has taken over yet. */
const VM_FRESH_MS = 1200;

/** Period of looking for ended jobs whose state need not be kept, in ms. */
const RETENTION_PERIOD_MS = 5000;

/** Period of the scheduler's clock, in ms. */
const TICK_MS = 100;

/** Time for which events are collected before tasks are assigned, in ms. */
const COLLECT_MS = 2;

/** Time that an append may take before no more tasks are assigned, in ms. */
const SLOW_STORE_MS = 300;

/** Time for which the state of a job is written, in ms. */
const STATE_WRITE_MS = 60_000;

const SECOND_MS = 1000;

const SCHEDULER_SETTINGS = { refusedPauseMs: 1000, roomPauseMs: 150, setAsideAfter: 3, setAsideMs: 4000 };

/** One term as leader: feeds the scheduler and carries out its plans. */
export class Term {
  readonly #advice: AdviceBook;
  readonly #balancer: PoolBalancer;
  readonly #log: Logger;
  readonly #loops: WorkerLoops;
  #planned = false;
  #ready = false;
  readonly #retention: JobRetention;
  readonly #scheduler: Scheduler;
  readonly #sender: OrderSender;
  readonly #termLog: TermLog;
  readonly #waves: WavePlanner;

  constructor(
    private readonly ctx: TermContext,
    private readonly start: TermStart,
    private readonly onLost: (reason: string) => void,
    private readonly signal: AbortSignal,
  ) {
    const { ports, timers } = ctx;
    this.#log = ctx.log.child({ epoch: start.epoch });
    this.#termLog = new TermLog(ports.runs, start.runsEnd, onLost, timers, signal);
    const onAdvice = (): void => {
      this.#scheduler.requestAssignment();
      this.#planSoon();
    };
    this.#advice = new AdviceBook(ports.advice, onAdvice, timers, this.#log, signal);
    const logDecision = (decision: string, data: Record<string, unknown>): void => {
      ctx.metrics.onDecision(decision, data);
      this.#log.info(data, decision);
    };
    this.#scheduler = new Scheduler(
      { ...SCHEDULER_SETTINGS, earlierLeasesEndAt: this.#earlierLeasesEndAt() },
      logDecision,
      (queue, step, workers) => this.#advice.allowed(queue, step, workers),
    );
    this.#retention = new JobRetention(ctx.settings.bounds.stateKeptS * SECOND_MS);
    this.#sender = new OrderSender(
      {
        epoch: start.epoch,
        leaseMs: this.#leaseMs,
        link: ports.link,
        onAnswer: (worker) => {
          this.#loops.wake(worker);
          this.#planSoon();
        },
        onFenced: onLost,
        permit: (task, workerId) => this.#advice.permit(task, workerId),
        scheduler: this.#scheduler,
        timers,
      },
      signal,
    );
    this.#loops = new WorkerLoops(
      {
        epoch: start.epoch,
        isFresh: () => ctx.proofAge() < FRESH_MS,
        leaseMs: this.#leaseMs,
        link: ports.link,
        log: this.#log,
        onChange: () => {
          this.#planSoon();
        },
        onFenced: onLost,
        scheduler: this.#scheduler,
        timers,
      },
      () => this.#sparePools(),
      signal,
    );
    this.#balancer = new PoolBalancer(this.#scheduler, logDecision);
    this.#waves = new WavePlanner(this.#scheduler, logDecision);
  }

  /** Takes a configuration. */
  onConfig(cfg: FleetConfig): void {
    this.#scheduler.onConfig(cfg);
    this.#planSoon();
  }

  /** Takes a wave that the operators ask for. */
  onWave(asked: AskedWave): void {
    this.#waves.onWave(asked.wave, asked.at);
  }

  /** Takes a change of a job. */
  onJob(id: string, entry: JobEntry): void {
    if (!this.#ready || entry.job === undefined) {
      return;
    }
    const { timers } = this.ctx;
    if (entry.cancelled) {
      this.#scheduler.onCancel(id, timers.mono());
    } else if (!isEnded(entry)) {
      this.#scheduler.onJob(entry.job, [], timers.mono(), timers.now());
    }
    this.#planSoon();
  }

  /** Leads until the signal aborts. */
  async run(): Promise<void> {
    await Promise.all([this.ctx.jobsTail.catchUp(this.signal), this.#openRegistry()]);
    if (this.signal.aborted) {
      return;
    }
    this.#restore();
    this.ctx.timers.every(
      TICK_MS,
      () => {
        this.#tick();
      },
      this.signal,
    );
    this.ctx.timers.every(
      RETENTION_PERIOD_MS,
      () => {
        this.#forgetOldJobs();
      },
      this.signal,
    );
    this.#planSoon();
    await new Promise<void>((resolve) => {
      this.signal.addEventListener('abort', () => {
        resolve();
      });
    });
  }

  get #leaseMs(): number {
    return Math.min(LEASE_MS, this.ctx.settings.bounds.maxLeaseMs);
  }

  // The leader before kept runs alive until its proof was too old; workers' clocks may be slow.
  #earlierLeasesEndAt(): number {
    const { at, released } = this.start.lastSign;
    return at + (released ? 0 : FRESH_MS) + longestLeaseMs(this.#leaseMs);
  }

  #openRegistry(): Promise<void> {
    const { ports, timers } = this.ctx;
    const registry = new WorkerRegistry({
      codec: ports.codec,
      log: this.#log,
      onChange: () => {
        this.#startLoops();
        this.#planSoon();
      },
      scheduler: this.#scheduler,
      stream: ports.registry,
      timers,
    });
    return registry.open(this.signal);
  }

  // A worker's report means something only once the tasks are known: ends of unknown tasks are forgotten.
  #startLoops(): void {
    if (this.#ready) {
      this.#loops.startMissing();
    }
  }

  #sparePools(): Set<string> {
    const pools = this.ctx.cfg()?.pools ?? [];
    return new Set(pools.filter((pool) => pool.spare).map((pool) => pool.name));
  }

  #restore(): void {
    const { jobs, timers } = this.ctx;
    const cfg = this.ctx.cfg();
    if (cfg !== undefined) {
      this.#scheduler.onConfig(cfg);
    }
    const byJob = groupByJob(this.start.tasks);
    for (const job of [...jobs.activeJobs()]) {
      this.#scheduler.onJob(job, byJob.get(job.id) ?? [], timers.mono(), timers.now());
      byJob.delete(job.id);
    }
    const left = [...byJob.values()].flat();
    void this.#termLog.append(left.map((record) => encodeTaskTombstone(record.task)));
    this.#ready = true;
    this.#startLoops();
    this.#startMaintenance();
    this.#log.info({ forgotten: left.length, jobs: this.#scheduler.jobs.size }, 'jobs taken over');
  }

  #startMaintenance(): void {
    const { ports, proofAge, settings, timers, waves } = this.ctx;
    const { codec, status, vms } = ports;
    if (vms === undefined) {
      return;
    }
    for (const record of this.start.otherRecords) {
      this.#waves.restore(record.key);
    }
    for (const asked of waves.values()) {
      this.onWave(asked);
    }
    const loop = new MaintenanceLoop(
      {
        balancer: this.#balancer,
        encodeReport: (report) => codec.encodeReport(report),
        epoch: this.start.epoch,
        isFresh: () => proofAge() < VM_FRESH_MS,
        leaseDurationMs: settings.bounds.leaseDurationMs,
        log: this.#log,
        node: settings.name,
        onChange: () => {
          this.#planSoon();
        },
        planner: this.#waves,
        sparePools: () => this.#sparePools(),
        status,
        termLog: this.#termLog,
        timers,
        vms,
      },
      this.signal,
    );
    loop.run(this.start.otherRecords);
  }

  #forgetOldJobs(): void {
    const { jobs, timers, writer } = this.ctx;
    for (const id of this.#retention.collectExpired(jobs, timers.mono())) {
      void writer.write({ id, kind: JOB_RECORD.forget }, timers.mono() + RETENTION_PERIOD_MS);
    }
  }

  #tick(): void {
    const { timers } = this.ctx;
    this.#scheduler.tick(timers.mono(), timers.now());
    this.#scheduler.requestAssignment();
    this.#plan();
  }

  #planSoon(): void {
    if (this.#planned || !this.#ready) {
      return;
    }
    this.#planned = true;
    this.ctx.timers.after(
      COLLECT_MS,
      () => {
        this.#plan();
      },
      this.signal,
    );
  }

  #plan(): void {
    this.#planned = false;
    const { timers } = this.ctx;
    const canAssign = this.#termLog.delayMs < SLOW_STORE_MS;
    const plan = this.#scheduler.plan(timers.mono(), timers.now(), canAssign);
    for (const stop of plan.stops) {
      void this.#sender.stop(stop);
    }
    for (const pace of plan.throttles) {
      void this.#sender.pace(pace);
    }
    void this.#carryOut(plan);
  }

  async #carryOut(plan: Plan): Promise<void> {
    if (!(await this.#termLog.append(plan.records))) {
      return;
    }
    for (const { bornAt, number, worker } of plan.ends) {
      if (worker.info.bornAt === bornAt) {
        worker.endsStored = Math.max(worker.endsStored, number);
        this.#loops.wake(worker);
      }
    }
    for (const state of plan.states) {
      void this.#tell(state);
    }
    for (const order of plan.starts) {
      void this.#sender.start(order);
    }
  }

  async #tell(record: StateRecord): Promise<void> {
    const { metrics, timers, writer } = this.ctx;
    const run = this.#scheduler.jobs.get(record.id);
    if (record.state === 'running' && run !== undefined) {
      metrics.onFirstRun(run.job.queue, timers.now() - run.job.acceptedAt);
    }
    const outcome = await writer.writePersistently(record, timers.mono() + STATE_WRITE_MS);
    if (outcome === WRITE_OUTCOME.stored && record.state !== 'running' && !this.signal.aborted) {
      this.#scheduler.onEndStored(record.id);
      this.#planSoon();
    }
  }
}

function groupByJob(records: readonly TaskRecord[]): Map<string, TaskRecord[]> {
  const byJob = new Map<string, TaskRecord[]>();
  for (const record of records) {
    const id = parseTaskName(record.task)?.jobId ?? record.task;
    const known = byJob.get(id) ?? [];
    known.push(record);
    byJob.set(id, known);
  }
  return byJob;
}
