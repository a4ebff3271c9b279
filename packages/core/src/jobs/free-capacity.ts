import type { Demand } from './demand';
import type { StepSpec } from './job-spec';
import type { Worker } from './worker';

/** Allowance for the rounding of sums of demands, in thousandths of a core, accelerators or MB. */
const ROUNDING_ALLOWANCE = 0.001;

/**
 * Largest free capacity of each resource on any of several workers. It rules out the steps whose tasks fit on
 * none of them, without a look at each worker.
 */
export class FreeCapacity {
  readonly #largest: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };

  constructor(private readonly workers: readonly Worker[]) {
    this.update();
  }

  /** Reads the workers again after tasks have been assigned to them. */
  update(): void {
    const largest = this.#largest;
    largest.cpuMilli = -Infinity;
    largest.gpus = -Infinity;
    largest.memoryMb = -Infinity;
    for (const { info, reserved } of this.workers) {
      const { capacity } = info;
      largest.cpuMilli = Math.max(largest.cpuMilli, capacity.cpuMilli - reserved.cpuMilli);
      largest.gpus = Math.max(largest.gpus, capacity.gpus - reserved.gpus);
      largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb - reserved.memoryMb);
    }
  }

  /** Whether a worker may have room for a task of a step; if false, no worker has. */
  mayFit({ demand, fillsIdle }: StepSpec): boolean {
    const largest = this.#largest;
    const cpuNeeded = fillsIdle ? 0 : demand.cpuMilli;
    return (
      cpuNeeded <= largest.cpuMilli + ROUNDING_ALLOWANCE &&
      demand.memoryMb <= largest.memoryMb + ROUNDING_ALLOWANCE &&
      demand.gpus <= largest.gpus + ROUNDING_ALLOWANCE
    );
  }
}
