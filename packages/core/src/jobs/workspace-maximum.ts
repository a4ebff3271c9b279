import type { Demand } from './demand';
import type { WorkspaceConfig } from './fleet-config';
import type { StepRun } from './step-run';
import type { WorkspaceUse } from './workspace-use';
import { addDemand, fromParts, RESOURCES, toParts } from './workspace-use';

/** Share of its maximum below which a workspace may assign one more task, whatever the size of the task. */
const EXCEPTION_SHARE = 0.5;

/** Why the tasks of a step wait for the maximum of their workspace. */
export interface MaximumObstacle {
  /** Whether the tasks of a gang don't fit into the maximum together, even if nothing else runs. */
  isGangTooLarge: boolean;
  /** 0 in a field means no limit. */
  maximum: Demand;
  use: Demand;
  workspace: string;
}

/** Amounts that decide about an assignment, in the same units. */
interface Amounts {
  demand: Demand;
  /** 0 in a field means no limit. */
  maximum: Demand;
  use: Demand;
}

/**
 * Returns how many of `count` waiting tasks may be assigned one after another. A task may be assigned if the use
 * including it stays within the maximum, or while the use is less than half of the maximum: so the use exceeds the
 * maximum by less than one task.
 */
function countAdmitted({ demand, maximum, use }: Amounts, count: number): number {
  let within = count;
  for (const resource of RESOURCES) {
    if (maximum[resource] > 0) {
      within = Math.min(within, countWithin(maximum[resource] - use[resource], demand[resource]));
    }
  }
  const isExceptional = within < count && isUnderShare(addDemand(use, demand, within), maximum);
  return isExceptional ? within + 1 : within;
}

/** Whether all members of a gang may be assigned together: the maximum may be exceeded by less than one of them. */
function admitsGang({ demand, maximum, use }: Amounts, count: number): boolean {
  const total = addDemand(use, demand, count);
  const excess = (resource: keyof Demand): number =>
    maximum[resource] > 0 ? total[resource] - maximum[resource] : 0;
  if (RESOURCES.every((resource) => excess(resource) <= 0)) {
    return true;
  }
  return (
    isUnderShare(use, maximum) &&
    RESOURCES.every((resource) => excess(resource) <= 0 || excess(resource) < demand[resource])
  );
}

function countWithin(remainder: number, demand: number): number {
  if (remainder < 0) {
    return 0;
  }
  return demand > 0 ? Math.floor(remainder / demand) : Infinity;
}

function isUnderShare(use: Demand, maximum: Demand): boolean {
  return RESOURCES.every(
    (resource) => maximum[resource] <= 0 || use[resource] < EXCEPTION_SHARE * maximum[resource],
  );
}

function countStartable(amounts: Amounts, { spec, waitingCount }: StepRun): number {
  if (!spec.gang) {
    return countAdmitted(amounts, waitingCount);
  }
  return waitingCount >= spec.count && admitsGang(amounts, spec.count) ? spec.count : 0;
}

/** Deals out what is left of the maxima to waiting tasks, without assigning them. */
export class StartAllowance {
  readonly #use = new Map<string, Demand>();

  constructor(private readonly maxima: WorkspaceMaxima) {}

  /** Returns how many of the waiting tasks of a step may start beside those that were counted before. */
  take(step: StepRun): number {
    const { workspace } = step.job.job;
    const maximum = this.maxima.partsOf(workspace);
    if (workspace === undefined || maximum === undefined) {
      return step.waitingCount;
    }
    const demand = toParts(step.spec.demand);
    const use = this.#use.get(workspace) ?? this.maxima.use.partsOf(workspace);
    const count = countStartable({ demand, maximum, use }, step);
    this.#use.set(workspace, addDemand(use, demand, count));
    return count;
  }
}

/** Maxima of the workspaces in the configuration in force, and the rule by which tasks may be assigned. */
export class WorkspaceMaxima {
  /** In whole parts; only workspaces with a limit. */
  #byWorkspace: ReadonlyMap<string, Demand> = new Map();

  constructor(readonly use: WorkspaceUse) {}

  /** Replaces the maxima by those of a configuration; undefined if it has no workspaces. */
  onConfig(workspaces: readonly WorkspaceConfig[] | undefined): void {
    const limited = (workspaces ?? []).filter(({ maximum }) =>
      RESOURCES.some((resource) => maximum[resource] > 0),
    );
    this.#byWorkspace = new Map(limited.map(({ maximum, name }) => [name, toParts(maximum)]));
  }

  /** Whether a waiting task of a step, or all members of its gang, may be assigned now. */
  admits(step: StepRun): boolean {
    const amounts = this.#amountsOf(step);
    if (amounts === undefined) {
      return true;
    }
    const { count, gang } = step.spec;
    return gang ? admitsGang(amounts, count) : countAdmitted(amounts, 1) > 0;
  }

  /** Returns what tells how many waiting tasks may start in all. */
  allowance(): StartAllowance {
    return new StartAllowance(this);
  }

  /** Returns why the waiting tasks of a step may not be assigned; undefined if they may. */
  findObstacle(step: StepRun): MaximumObstacle | undefined {
    const { workspace } = step.job.job;
    const amounts = this.#amountsOf(step);
    if (workspace === undefined || amounts === undefined || this.admits(step)) {
      return undefined;
    }
    const { count, gang } = step.spec;
    const unused = { ...amounts, use: { cpuMilli: 0, gpus: 0, memoryMb: 0 } };
    return {
      isGangTooLarge: gang && !admitsGang(unused, count),
      maximum: fromParts(amounts.maximum),
      use: fromParts(amounts.use),
      workspace,
    };
  }

  /** Returns the maximum of a workspace in whole parts; undefined if it has none. */
  partsOf(workspace: string | undefined): Demand | undefined {
    return workspace === undefined ? undefined : this.#byWorkspace.get(workspace);
  }

  #amountsOf(step: StepRun): Amounts | undefined {
    const { workspace } = step.job.job;
    const maximum = this.partsOf(workspace);
    return workspace === undefined || maximum === undefined
      ? undefined
      : { demand: toParts(step.spec.demand), maximum, use: this.use.partsOf(workspace) };
  }
}
