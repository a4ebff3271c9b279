import type { FleetConfig, JobPolicy, PoolConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { DecisionLog, Plan } from './scheduler-output';
import type { Worker } from './worker';
import { PoolState } from './pool-state';
import { RateEntitlement } from './rate-entitlement';
import { RunTimeEstimator } from './run-time-estimator';
import { VmClaims } from './vm-claims';
import { WorkspaceMaxima } from './workspace-maximum';
import { WorkspaceUse } from './workspace-use';
import { WorkspaceWeights } from './workspace-weights';

/** Settings of the scheduler. */
export interface SchedulerSettings {
  /** Monotonic time at which the last lease granted in earlier terms has ended, in ms. */
  earlierLeasesEndAt: number;
  /** The same for leases that an incarnation of a worker granted that the earlier leaders had not met, in ms. */
  earlierLongestLeasesEndAt: number;
  /** Duration to which workers shorten a longer lease, in ms. */
  maxLeaseMs: number;
  /** Most bytes of the key and the value of a record that can be stored. */
  maxRecordBytes: number;
  /** Time for which no tasks are assigned to a worker that refused an order, in ms. */
  refusedPauseMs: number;
  /**
   * Run time of a task on another rack than that of its data, or of a rack-sensitive step that is spread, as a multiple
   * of the run time in one rack. Undefined, or at most 1, if tasks don't wait for racks.
   */
  remoteFactor?: number | undefined;
  /** Time for which no tasks are assigned to a worker that had no free capacity, in ms. */
  roomPauseMs: number;
  /** Number of consecutive failed runs after which a worker is quarantined. */
  setAsideAfter: number;
  /** Duration of the quarantine of a worker, in ms. */
  setAsideMs: number;
}

/**
 * Policy of a job of a dropped queue whose record does not state it. Its tasks may fail once, since no queue allows
 * fewer failed runs.
 */
const UNKNOWN_POLICY: JobPolicy = {
  advice: undefined,
  maxAttempts: 1,
  priority: 0,
  stretch: 1,
  targetMs: 0,
};

/** State that the components of the scheduler share. */
export class SchedulerContext {
  #cfg: FleetConfig | undefined;
  /** Claims to the VMs of the workers. */
  readonly vmClaims: VmClaims;
  /** Jobs that have not ended, and ended jobs whose end is not stored or whose runs are still being stopped. */
  readonly jobs = new Map<string, JobRun>();
  /** Plan in preparation, to which records and orders are added until the next `takePlan`. */
  pending: Plan = emptyPlan();
  readonly pools = new Map<string, PoolState>();
  #policies: ReadonlyMap<string, JobPolicy> = new Map();
  readonly runTimes = new RunTimeEstimator();
  /** Known workers, including deregistered ones that may still run tasks. */
  readonly workers = new Map<string, Worker>();
  readonly workspaceUse = new WorkspaceUse();
  /** Marks the jobs that their workspaces send beyond their rates. */
  readonly entitlement = new RateEntitlement();
  #weights: WorkspaceWeights | undefined;
  readonly maxima = new WorkspaceMaxima(this.workspaceUse);

  constructor(
    readonly settings: SchedulerSettings,
    readonly log: DecisionLog,
  ) {
    this.vmClaims = new VmClaims(log);
  }

  /** Configuration in force; undefined until there is one. */
  get cfg(): FleetConfig | undefined {
    return this.#cfg;
  }

  set cfg(cfg: FleetConfig | undefined) {
    this.#cfg = cfg;
    // Of several queues with one name the first counts.
    this.#policies = new Map((cfg?.queues ?? []).map((queue) => [queue.name, queue] as const).reverse());
    this.maxima.onConfig(cfg?.workspaces);
    this.#weights = WorkspaceWeights.from(cfg?.workspaces);
    this.entitlement.onWeights(this.#weights);
  }

  /** Weights of the workspaces in the configuration in force; undefined if it has none. */
  get weights(): WorkspaceWeights | undefined {
    return this.#weights;
  }

  /** Adds the ends that were read from a worker to those that are stored with the next plan. */
  addReadEnds(worker: Worker): void {
    const { bornAt } = worker.info;
    const ends = this.pending.ends.find((item) => item.worker === worker && item.bornAt === bornAt);
    if (ends === undefined) {
      this.pending.ends.push({ bornAt, number: worker.endsRead, worker });
    } else {
      ends.number = worker.endsRead;
    }
  }

  /** Returns the state of a pool; creates it if it does not exist. */
  getOrCreatePool(name: string): PoolState {
    const known = this.pools.get(name);
    if (known !== undefined) {
      return known;
    }
    const pool = new PoolState();
    this.pools.set(name, pool);
    return pool;
  }

  /** Returns the configuration of a pool; undefined if it is not configured. */
  getPoolConfig(name: string): PoolConfig | undefined {
    return this.#cfg?.pools.find((pool) => pool.name === name);
  }

  /**
   * Returns the policy of a job: that of its queue or, once the queue is dropped, the one under which it was accepted.
   * Undefined for a job whose record does not state it, while there is no configuration.
   */
  getPolicy({ job }: JobRun): JobPolicy | undefined {
    const known = this.#policies.get(job.queue) ?? job.policy;
    return known ?? (this.#cfg === undefined ? undefined : UNKNOWN_POLICY);
  }

  /** Returns the pending plan and replaces it by an empty one. */
  takePlan(): Plan {
    const plan = this.pending;
    this.pending = emptyPlan();
    return plan;
  }
}

function emptyPlan(): Plan {
  return { ends: [], throttles: [], records: [], starts: [], states: [], stops: [] };
}
