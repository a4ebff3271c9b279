import type { SchedulerContext } from './scheduler-context';
import { fromParts } from './workspace-use';

/** Use of a workspace, over all pools. */
export interface WorkspaceLoad {
  /** Most processor time that its tasks may reserve, in thousandths of a core; 0 means no limit. */
  maximumCpuMilli: number;
  /** Processor time that its runs reserve, in thousandths of a core. */
  reservedCpuMilli: number;
  /** Number of waiting tasks of its ready steps. */
  waitingTasks: number;
  workspace: string;
}

/** Maximum of a workspace without limits. */
const NO_LIMIT = { cpuMilli: 0, gpus: 0, memoryMb: 0 } as const;

/** Most workspaces that are listed on their own. */
const MAX_LISTED_WORKSPACES = 50;

/** Name under which the other workspaces are summed. */
const OTHER_WORKSPACES = 'other';

/**
 * Computes the loads of the workspaces in the configuration and of those with runs or waiting tasks: of those with
 * the highest use, and the sum of the others under `other`.
 */
export function computeWorkspaceLoads(ctx: SchedulerContext): WorkspaceLoad[] {
  const waiting = countWaitingTasks(ctx);
  const configured = (ctx.cfg?.workspaces ?? []).map(({ name }) => name);
  const names = new Set([...configured, ...ctx.workspaceUse.workspaces, ...waiting.keys()]);
  const loads = [...names].map((workspace): WorkspaceLoad => ({
    maximumCpuMilli: fromParts(ctx.maxima.partsOf(workspace) ?? NO_LIMIT).cpuMilli,
    reservedCpuMilli: ctx.workspaceUse.of(workspace).cpuMilli,
    waitingTasks: waiting.get(workspace) ?? 0,
    workspace,
  }));
  loads.sort((a, b) => b.reservedCpuMilli - a.reservedCpuMilli || b.waitingTasks - a.waitingTasks);
  return loads.length > MAX_LISTED_WORKSPACES ? sumRest(loads) : loads;
}

function countWaitingTasks({ jobs }: SchedulerContext): Map<string, number> {
  const counts = new Map<string, number>();
  for (const run of jobs.values()) {
    const { workspace } = run.job;
    if (workspace !== undefined && !run.hasEnded) {
      const waiting = run.readySteps().reduce((sum, step) => sum + step.waitingCount, 0);
      counts.set(workspace, (counts.get(workspace) ?? 0) + waiting);
    }
  }
  return counts;
}

function sumRest(loads: readonly WorkspaceLoad[]): WorkspaceLoad[] {
  const isListed = ({ workspace }: WorkspaceLoad, index: number): boolean =>
    index < MAX_LISTED_WORKSPACES && workspace !== OTHER_WORKSPACES;
  const rest: WorkspaceLoad = {
    maximumCpuMilli: 0,
    reservedCpuMilli: 0,
    waitingTasks: 0,
    workspace: OTHER_WORKSPACES,
  };
  for (const load of loads.filter((item, index) => !isListed(item, index))) {
    rest.maximumCpuMilli += load.maximumCpuMilli;
    rest.reservedCpuMilli += load.reservedCpuMilli;
    rest.waitingTasks += load.waitingTasks;
  }
  return [...loads.filter(isListed), rest];
}
