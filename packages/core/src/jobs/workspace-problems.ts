import type { WorkspaceConfig } from './fleet-config';

/** Most of a maximum, in thousandths of a core, MB or accelerators; sums of larger figures lose the small ones. */
const MAX_MAXIMUM = 1e12;

/**
 * Returns the first reason why the workspaces of a configuration can't be used; undefined if they can. A reason has the
 * index of the workspace, never a key.
 */
export function findWorkspaceProblem(workspaces: readonly WorkspaceConfig[]): string | undefined {
  const names = new Set<string>();
  const keys = new Set<string>();
  for (const [index, workspace] of workspaces.entries()) {
    const problem =
      findNameProblem(workspace.name, names) ??
      findKeyProblem(workspace.keys, keys) ??
      findNumberProblem(workspace);
    if (problem !== undefined) {
      return `workspace ${index}: ${problem}`;
    }
  }
  return undefined;
}

function findNameProblem(name: string, names: Set<string>): string | undefined {
  if (name === '') {
    return 'it has no name';
  }
  if (names.has(name)) {
    return 'its name occurs twice';
  }
  names.add(name);
  return undefined;
}

function findKeyProblem(own: readonly string[], keys: Set<string>): string | undefined {
  for (const [index, key] of own.entries()) {
    if (key === '') {
      return `key ${index} is empty`;
    }
    if (keys.has(key)) {
      return `key ${index} occurs twice`;
    }
    keys.add(key);
  }
  return undefined;
}

function findNumberProblem({ maximum, weight }: WorkspaceConfig): string | undefined {
  if (!(Number.isFinite(weight) && weight > 0)) {
    return 'its weight is not a finite number above 0';
  }
  const { cpuMilli, gpus, memoryMb } = maximum;
  return [cpuMilli, gpus, memoryMb].every(isMaximum)
    ? undefined
    : `a field of its maximum is not a number from 0 to ${MAX_MAXIMUM}`;
}

function isMaximum(value: number): boolean {
  return value >= 0 && value <= MAX_MAXIMUM;
}
