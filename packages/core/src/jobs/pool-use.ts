import type { PoolState } from './pool-state';

/** Capacity that a pool holds, and the part of it that its tasks reserve. */
export interface PoolUse {
  /** Processor time of the registered workers, in thousandths of a core. */
  heldCpuMilli: number;
  pool: string;
  /** Processor time that tasks reserve on them, in thousandths of a core. */
  reservedCpuMilli: number;
  /** Registered workers. */
  workers: number;
  /** Registered workers to which at least one task is assigned. */
  workersInUse: number;
}

/** Computes how much of a pool's capacity is reserved. */
export function computePoolUse(name: string, pool: PoolState): PoolUse {
  const use: PoolUse = { heldCpuMilli: 0, pool: name, reservedCpuMilli: 0, workers: 0, workersInUse: 0 };
  for (const worker of pool.workers) {
    if (!worker.isDeregistered) {
      use.heldCpuMilli += worker.info.capacity.cpuMilli;
      use.reservedCpuMilli += worker.reserved.cpuMilli;
      use.workers += 1;
      use.workersInUse += Number(worker.runs.size > 0);
    }
  }
  return use;
}
