import type { Demand } from './demand';
import type { PoolState } from './pool-state';
import type { Task } from './task';
import type { WorkspaceWeights } from './workspace-weights';

/**
 * Dominant shares of the workspaces in a pool: the largest fraction of the pool's processor time, memory or accelerators
 * that their tasks reserve, divided by their weight. Jobs without a workspace form a group of their own.
 */
export class WorkspaceShares {
  readonly #capacity: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };
  readonly #reserved = new Map<string | undefined, Demand>();

  constructor(
    { workers }: PoolState,
    private readonly weights: WorkspaceWeights,
  ) {
    for (const { info, isDeregistered, runs } of workers) {
      if (!isDeregistered) {
        increase(this.#capacity, info.capacity);
      }
      for (const task of runs.values()) {
        this.add(task);
      }
    }
  }

  /** Adds what an assigned task reserves. */
  add({ job, step }: Task): void {
    const { workspace } = job.job;
    const { demand, fillsIdle } = step.spec;
    let reserved = this.#reserved.get(workspace);
    if (reserved === undefined) {
      reserved = { cpuMilli: 0, gpus: 0, memoryMb: 0 };
      this.#reserved.set(workspace, reserved);
    }
    increase(reserved, demand);
    reserved.cpuMilli -= fillsIdle ? demand.cpuMilli : 0;
  }

  /** Whether a workspace reserves more than its weight gives it beside those that have runs in the pool. */
  isAbove(workspace: string | undefined): boolean {
    const groups = new Set([workspace, ...this.#reserved.keys()]);
    const weights = [...groups].reduce((sum, group) => sum + this.weights.weightOf(group), 0);
    return this.shareOf(workspace) * weights > 1;
  }

  /** Returns the dominant share of a workspace. */
  shareOf(workspace: string | undefined): number {
    const reserved = this.#reserved.get(workspace);
    if (reserved === undefined) {
      return 0;
    }
    const { cpuMilli, gpus, memoryMb } = this.#capacity;
    const dominant = Math.max(
      fractionOf(reserved.cpuMilli, cpuMilli),
      fractionOf(reserved.gpus, gpus),
      fractionOf(reserved.memoryMb, memoryMb),
    );
    return dominant / this.weights.weightOf(workspace);
  }
}

function increase(sum: Demand, demand: Demand): void {
  sum.cpuMilli += demand.cpuMilli;
  sum.gpus += demand.gpus;
  sum.memoryMb += demand.memoryMb;
}

function fractionOf(reserved: number, capacity: number): number {
  return capacity > 0 ? reserved / capacity : 0;
}
