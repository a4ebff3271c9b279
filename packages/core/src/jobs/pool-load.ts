import type { PoolState } from './pool-state';
import type { PoolWork } from './pool-work';
import type { StepRun } from './step-run';
import type { StrandedTasks } from './stranded-tasks';
import type { Worker } from './worker';
import type { StartAllowance } from './workspace-maximum';
import { StrandedTaskFinder } from './stranded-tasks';

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
  /** Waiting tasks of ready steps that fit on none of the open workers. */
  stranded: StrandedTasks[];
  /** Processor time of the waiting tasks that require a label, by label, in thousandths of a core. */
  waitingByLabel: Map<string, number>;
  /** Processor time of the waiting tasks of ready steps, in thousandths of a core. */
  waitingCpuMilli: number;
  /** Work of the tasks that end; undefined when it is not known. */
  work?: PoolWork;
}

/**
 * Computes the load of a pool at a monotonic time in ms. Waiting tasks that the allowance does not let start need no
 * capacity.
 */
export function computePoolLoad(
  name: string,
  pool: PoolState,
  now: number,
  allowance?: StartAllowance,
): PoolLoad {
  const load: PoolLoad = {
    endingCpuMilli: 0,
    floor: 0,
    floorByLabel: new Map(),
    nearLabels: new Set(),
    open: pool.assignableWorkers(now),
    pool: name,
    reservedCpuMilli: 0,
    stranded: [],
    waitingByLabel: new Map(),
    waitingCpuMilli: 0,
  };
  for (const worker of pool.workers) {
    load.reservedCpuMilli += worker.reserved.cpuMilli;
    load.endingCpuMilli += worker.endingCpuMilli;
  }
  const strandedTasks = new StrandedTaskFinder(load.open, now);
  for (const run of pool.jobs) {
    const withheld = new Map<StepRun, number>();
    for (const step of run.readySteps()) {
      const startable = allowance?.take(step) ?? step.waitingCount;
      withheld.set(step, step.waitingCount - startable);
      addWaitingTasks(load, step, startable);
      const stranded = strandedTasks.find(step, startable);
      if (stranded !== undefined) {
        load.stranded.push(stranded);
      }
    }
    for (const occurrence of run.occurrences) {
      for (const step of occurrence.steps) {
        load.floor = Math.max(load.floor, minWorkersFor(step, withheld.get(step) ?? 0));
      }
    }
  }
  return load;
}

function addWaitingTasks(load: PoolLoad, step: StepRun, startable: number): void {
  const { spec, waitingCount } = step;
  const { demand, fillsIdle, longRunning, preferredRack, requiredLabel } = spec;
  const cpuMilli = fillsIdle ? 0 : startable * demand.cpuMilli;
  load.waitingCpuMilli += cpuMilli;
  load.endingCpuMilli += longRunning ? 0 : cpuMilli;
  if (requiredLabel !== '' && startable > 0) {
    load.waitingByLabel.set(requiredLabel, (load.waitingByLabel.get(requiredLabel) ?? 0) + cpuMilli);
  }
  if (requiredLabel !== '') {
    const floor = Math.max(
      load.floorByLabel.get(requiredLabel) ?? 0,
      minWorkersFor(step, waitingCount - startable),
    );
    load.floorByLabel.set(requiredLabel, floor);
  }
  if (preferredRack !== '' && startable > 0) {
    load.nearLabels.add(preferredRack);
  }
}

function minWorkersFor(step: StepRun, withheld: number): number {
  const { count, longRunning, maxPerWorker } = step.spec;
  return longRunning && maxPerWorker > 0 ? Math.ceil((count - withheld) / maxPerWorker) : 0;
}
