import type { WorkspaceConfig } from './fleet-config';

/** Weights of the workspaces in a configuration. */
export class WorkspaceWeights {
  readonly #byName: ReadonlyMap<string, number>;
  readonly #mean: number;
  readonly #smallest: number;

  /** Returns the weights of a configuration; undefined if it has no workspaces. */
  static from(workspaces: readonly WorkspaceConfig[] | undefined): WorkspaceWeights | undefined {
    return workspaces === undefined || workspaces.length === 0 ? undefined : new WorkspaceWeights(workspaces);
  }

  private constructor(workspaces: readonly WorkspaceConfig[]) {
    this.#byName = new Map(workspaces.map(({ name, weight }) => [name, weight]));
    const weights = [...this.#byName.values()];
    this.#mean = weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
    this.#smallest = weights.reduce((least, weight) => Math.min(least, weight), Infinity);
  }

  /** Returns the jobs a second to which a workspace is entitled; Infinity if the configuration does not have it. */
  rateOf(workspace: string): number {
    return this.#byName.get(workspace) ?? Infinity;
  }

  /**
   * Returns the weight of a workspace in a full pool: the smallest one if the configuration does not have it, and the
   * mean for the jobs without a workspace.
   */
  weightOf(workspace: string | undefined): number {
    return workspace === undefined ? this.#mean : (this.#byName.get(workspace) ?? this.#smallest);
  }
}
