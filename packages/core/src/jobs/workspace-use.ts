import type { Demand } from './demand';
import type { StepRun } from './step-run';

/** Parts of a thousandth of a core, of an accelerator or of a MB in which the use is summed. */
const PARTS_PER_UNIT = 1e6;

/** Resources whose use is limited. */
export const RESOURCES = ['cpuMilli', 'gpus', 'memoryMb'] as const;

/** Converts amounts of resources to whole parts, whose sums do not depend on the order of additions. */
export function toParts({ cpuMilli, gpus, memoryMb }: Demand): Demand {
  return {
    cpuMilli: Math.round(cpuMilli * PARTS_PER_UNIT),
    gpus: Math.round(gpus * PARTS_PER_UNIT),
    memoryMb: Math.round(memoryMb * PARTS_PER_UNIT),
  };
}

/** Converts whole parts to amounts of resources. */
export function fromParts({ cpuMilli, gpus, memoryMb }: Demand): Demand {
  return {
    cpuMilli: cpuMilli / PARTS_PER_UNIT,
    gpus: gpus / PARTS_PER_UNIT,
    memoryMb: memoryMb / PARTS_PER_UNIT,
  };
}

/** Returns the sum of `amount` and `count` times `demand`, in the same units. */
export function addDemand(amount: Demand, demand: Demand, count: number): Demand {
  return {
    cpuMilli: amount.cpuMilli + count * demand.cpuMilli,
    gpus: amount.gpus + count * demand.gpus,
    memoryMb: amount.memoryMb + count * demand.memoryMb,
  };
}

/** Resources that no task of a workspace uses. */
const NO_USE: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };

/**
 * What the runs of each workspace reserve, over all workers. The processor time of best-effort tasks counts in full,
 * although workers don't reserve it.
 */
export class WorkspaceUse {
  /** Set when the use of a workspace falls. */
  hasFallen = false;
  /** In whole parts. */
  readonly #byWorkspace = new Map<string, Demand>();

  /** Names of the workspaces with runs. */
  get workspaces(): Iterable<string> {
    return this.#byWorkspace.keys();
  }

  /** Adds a run of a step; runs of jobs without a workspace are not counted. */
  add(step: StepRun): void {
    this.#change(step, 1);
  }

  /** Subtracts a run of a step that was added. */
  remove(step: StepRun): void {
    this.#change(step, -1);
  }

  /** Returns the use of a workspace, in whole parts. */
  partsOf(workspace: string): Demand {
    return this.#byWorkspace.get(workspace) ?? NO_USE;
  }

  /** Returns the use of a workspace: thousandths of a core, accelerators and MB. */
  of(workspace: string): Demand {
    return fromParts(this.partsOf(workspace));
  }

  #change({ job, spec }: StepRun, sign: 1 | -1): void {
    const { workspace } = job.job;
    if (workspace === undefined) {
      return;
    }
    const sum = addDemand(this.partsOf(workspace), toParts(spec.demand), sign);
    this.hasFallen ||= sign < 0;
    if (RESOURCES.every((resource) => sum[resource] === 0)) {
      this.#byWorkspace.delete(workspace);
    } else {
      this.#byWorkspace.set(workspace, sum);
    }
  }
}
