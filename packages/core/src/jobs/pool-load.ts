import type { StepRun } from './job-run';
import type { PoolState } from './pool-state';
import type { Worker } from './worker';

/** Capacity in use and resource demand of a pool. */
export interface PoolLoad {
  /**
   * Processor time that is reserved or required by tasks that are neither long-running nor best-effort, in
   * thousandths of a core.
   */
  endingCpuMilli: number;
  /** Minimum number of workers needed to place each long-running step within its limit per worker. */
  floor: number;
  /** The same for the steps that have waiting tasks and require a label, by label. */
  floorByLabel: Map<string, number>;
  /** Labels of the racks that hold the data of the ready steps. */
  nearLabels: Set<string>;
  /** Workers to which new tasks can be assigned. */
  open: Worker[];
  pool: string;
  /** Processor time reserved by assigned tasks, in thousandths of a core. */
  reservedCpuMilli: number;
  /** Processor time of the waiting tasks that require a label, by label, in thousandths of a core. */
  waitingByLabel: Map<string, number>;
  /** Processor time of the waiting tasks of ready steps, in thousandths of a core. */
  waitingCpuMilli: number;
}

/** Computes the load of a pool at a monotonic time in ms. */
export function computePoolLoad(name: string, pool: PoolState, now: number): PoolLoad {
  const load: PoolLoad = {
    endingCpuMilli: 0,
    floor: 0,
    floorByLabel: new Map(),
    nearLabels: new Set(),
    open: pool.assignableWorkers(now),
    pool: name,
    reservedCpuMilli: 0,
    waitingByLabel: new Map(),
    waitingCpuMilli: 0,
  };
  for (const worker of pool.workers) {
    load.reservedCpuMilli += worker.reserved.cpuMilli;
    load.endingCpuMilli += finiteCpuMilliOn(worker);
  }
  for (const run of pool.jobs) {
    for (const step of run.readySteps()) {
      addWaitingTasks(load, step);
    }
    for (const occurrence of run.occurrences) {
      load.floor = Math.max(load.floor, ...occurrence.steps.map(minWorkersFor));
    }
  }
  return load;
}

function addWaitingTasks(load: PoolLoad, step: StepRun): void {
  const { spec, waitingCount } = step;
  const { demand, fillsIdle, longRunning, preferredRack, requiredLabel } = spec;
  const cpuMilli = fillsIdle ? 0 : waitingCount * demand.cpuMilli;
  load.waitingCpuMilli += cpuMilli;
  load.endingCpuMilli += longRunning ? 0 : cpuMilli;
  if (requiredLabel !== '' && waitingCount > 0) {
    load.waitingByLabel.set(requiredLabel, (load.waitingByLabel.get(requiredLabel) ?? 0) + cpuMilli);
  }
  if (requiredLabel !== '') {
    const floor = Math.max(load.floorByLabel.get(requiredLabel) ?? 0, minWorkersFor(step));
    load.floorByLabel.set(requiredLabel, floor);
  }
  if (preferredRack !== '') {
    load.nearLabels.add(preferredRack);
  }
}

function finiteCpuMilliOn(worker: Worker): number {
  let cpuMilli = 0;
  for (const { step } of worker.runs.values()) {
    cpuMilli += step.spec.longRunning || step.spec.fillsIdle ? 0 : step.spec.demand.cpuMilli;
  }
  return cpuMilli;
}

function minWorkersFor(step: StepRun): number {
  const { longRunning, maxPerWorker } = step.spec;
  return longRunning && maxPerWorker > 0 ? Math.ceil(step.spec.count / maxPerWorker) : 0;
}
