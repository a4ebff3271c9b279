import type { FleetConfig, QueueConfig } from './fleet-config';
import type { JobRun } from './job-run';
import type { DecisionLog, Plan } from './scheduler-output';
import type { Worker } from './worker';
import { PoolState } from './pool-state';
import { RunTimes } from './run-times';

/** Settings of the scheduler. */
export interface SchedulerSettings {
  /** Monotonic time after which nothing runs by the orders of earlier terms, in ms. */
  earlierLeasesEndAt: number;
  /** Time for which a worker that refused an order gets none, in ms. */
  refusedPauseMs: number;
  /** Time for which a worker without room gets no order, in ms. */
  roomPauseMs: number;
  /** Failed runs in a row after which a worker is set aside. */
  setAsideAfter: number;
  /** Time for which a worker is set aside, in ms. */
  setAsideMs: number;
}

/** What the parts of the scheduler share. */
export class SchedulerContext {
  cfg: FleetConfig | undefined;
  /** Jobs that have not ended, and those whose end is not stored or whose runs are being stopped. */
  readonly jobs = new Map<string, JobRun>();
  /** What is to be done since the last plan was taken. */
  out: Plan = emptyPlan();
  readonly pools = new Map<string, PoolState>();
  readonly times = new RunTimes();
  /** Workers that are known, with those that have left but may still run something. */
  readonly workers = new Map<string, Worker>();

  constructor(
    readonly settings: SchedulerSettings,
    readonly log: DecisionLog,
  ) {}

  /** Notes that the ends which have been read from a worker are stored with the next plan. */
  noteEnds(worker: Worker): void {
    const { bornAt } = worker.info;
    const ends = this.out.ends.find((item) => item.worker === worker && item.bornAt === bornAt);
    if (ends === undefined) {
      this.out.ends.push({ bornAt, number: worker.endsRead, worker });
    } else {
      ends.number = worker.endsRead;
    }
  }

  /** State of a pool, which is made when it is not known. */
  pool(name: string): PoolState {
    const known = this.pools.get(name);
    if (known !== undefined) {
      return known;
    }
    const pool = new PoolState();
    this.pools.set(name, pool);
    return pool;
  }

  /** Configuration of the queue that a job came through. */
  queueOf(run: JobRun): QueueConfig | undefined {
    return this.cfg?.queues.find((queue) => queue.name === run.job.queue);
  }

  /** Gives what is to be done, and begins anew. */
  takePlan(): Plan {
    const plan = this.out;
    this.out = emptyPlan();
    return plan;
  }
}

function emptyPlan(): Plan {
  return { ends: [], paces: [], records: [], starts: [], states: [], stops: [] };
}
