import type { StepRun } from './job-run';
import type { PoolState } from './pool-state';
import type { Worker } from './worker';

/** What a pool has and what its jobs ask for. */
export interface PoolLoad {
  /** Processor time that tasks of jobs that end hold or wait for, in thousandths of a core. */
  endingCpuMilli: number;
  /** Workers without which a lasting step can't be spread as it must be. */
  floor: number;
  /** Racks that hold the data of the pool's jobs. */
  nearLabels: Set<string>;
  /** Workers that new tasks may be assigned to. */
  open: Worker[];
  pool: string;
  /** Processor time of tasks that are assigned, in thousandths of a core. */
  reservedCpuMilli: number;
  /** Processor time of waiting tasks that require a label, by label, in thousandths of a core. */
  waitingByLabel: Map<string, number>;
  /** Processor time of tasks whose turn has come and that have no worker, in thousandths of a core. */
  waitingCpuMilli: number;
}

/** Load of a pool at a monotonic time, in ms. */
export function loadOf(name: string, pool: PoolState, now: number): PoolLoad {
  const load: PoolLoad = {
    endingCpuMilli: 0,
    floor: 0,
    nearLabels: new Set(),
    open: pool.openWorkers(now),
    pool: name,
    reservedCpuMilli: 0,
    waitingByLabel: new Map(),
    waitingCpuMilli: 0,
  };
  for (const worker of pool.workers) {
    load.reservedCpuMilli += worker.reserved.cpuMilli;
    load.endingCpuMilli += endingOn(worker);
  }
  for (const run of pool.jobs) {
    for (const step of run.readySteps()) {
      addWaiting(load, step);
    }
    for (const occurrence of run.occurrences) {
      load.floor = Math.max(load.floor, ...occurrence.steps.map(workersNeeded));
    }
  }
  return load;
}

function addWaiting(load: PoolLoad, { spec, waiting }: StepRun): void {
  const { demand, fillsIdle, longRunning, preferredRack, requiredLabel } = spec;
  const cpuMilli = fillsIdle ? 0 : waiting * demand.cpuMilli;
  load.waitingCpuMilli += cpuMilli;
  load.endingCpuMilli += longRunning ? 0 : cpuMilli;
  if (requiredLabel !== '' && waiting > 0) {
    load.waitingByLabel.set(requiredLabel, (load.waitingByLabel.get(requiredLabel) ?? 0) + cpuMilli);
  }
  if (preferredRack !== '') {
    load.nearLabels.add(preferredRack);
  }
}

function endingOn(worker: Worker): number {
  let cpuMilli = 0;
  for (const { step } of worker.runs.values()) {
    cpuMilli += step.spec.longRunning || step.spec.fillsIdle ? 0 : step.spec.demand.cpuMilli;
  }
  return cpuMilli;
}

function workersNeeded(step: StepRun): number {
  const { longRunning, maxPerWorker } = step.spec;
  return longRunning && maxPerWorker > 0 ? Math.ceil(step.spec.count / maxPerWorker) : 0;
}
