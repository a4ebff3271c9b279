import type { StepRun } from './job-run';
import type { PoolState } from './pool-state';
import type { Worker } from './worker';

/** What a pool has and what its jobs ask for. */
export interface PoolLoad {
  /** Workers without which a lasting step can't be spread as it must be. */
  floor: number;
  /** Workers that new tasks may be assigned to. */
  open: Worker[];
  pool: string;
  /** Processor time of tasks that are assigned, in thousandths of a core. */
  reservedCpuMilli: number;
  /** Processor time of tasks whose turn has come and that have no worker, in thousandths of a core. */
  waitingCpuMilli: number;
}

/** Load of a pool at a monotonic time, in ms. */
export function loadOf(name: string, pool: PoolState, now: number): PoolLoad {
  const load: PoolLoad = {
    floor: 0,
    open: pool.openWorkers(now),
    pool: name,
    reservedCpuMilli: 0,
    waitingCpuMilli: 0,
  };
  for (const worker of pool.workers) {
    load.reservedCpuMilli += worker.reserved.cpuMilli;
  }
  for (const run of pool.jobs) {
    for (const step of run.readySteps()) {
      load.waitingCpuMilli += step.spec.fillsIdle ? 0 : step.waiting * step.spec.demand.cpuMilli;
    }
    for (const occurrence of run.occurrences) {
      load.floor = Math.max(load.floor, ...occurrence.steps.map(workersNeeded));
    }
  }
  return load;
}

function workersNeeded(step: StepRun): number {
  const { longRunning, maxPerWorker } = step.spec;
  return longRunning && maxPerWorker > 0 ? Math.ceil(step.spec.count / maxPerWorker) : 0;
}
