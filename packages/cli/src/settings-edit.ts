import type { TeamBranch } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { describeProblems, teamBranchSchema } from '@sequoiaquay/core';
import { findOption } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import type { CliError } from './cli-error';
import { usageError } from './cli-error';

type Tree = Record<string, unknown>;

/** Sets one option of a branch; the value `null` removes it. The branch passed in is left as it is. */
export function editBranch(
  branch: TeamBranch | null,
  path: string,
  text: string,
): Result<TeamBranch, CliError> {
  const names = path.split('.');
  const option = findOption(teamBranchSchema, names);
  if (!option.found) {
    return err(
      usageError(`${path}: no such option (value ${text}); allowed here: ${option.allowedNames.join(', ')}`),
    );
  }
  const value = parseValue(text);
  const edited = withValue(structuredClone<Tree>(branch ?? { pools: {} }), names, value);
  return checkBranch(edited).mapErr((error) =>
    usageError(`${path}: the value ${text} is not allowed; allowed: ${option.type}`, ...error.lines),
  );
}

/** Checks a whole branch. */
export function checkBranch(value: unknown): Result<TeamBranch, CliError> {
  const parsed = teamBranchSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(usageError(...describeProblems(parsed.error)));
}

/** Value at a path of a branch, or undefined. */
export function valueAt(branch: TeamBranch | null, path: string): unknown {
  let value: unknown = branch;
  for (const name of path.split('.')) {
    value = isTree(value) && Object.hasOwn(value, name) ? value[name] : undefined;
  }
  return value;
}

// Text that is not JSON stands for itself, so that names need no quotes.
function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

// The names have been checked against the schema, which has no inherited names such as "__proto__".
function withValue(tree: Tree, names: readonly string[], value: unknown): Tree {
  const [name = '', ...rest] = names;
  if (rest.length > 0) {
    const inner = Object.hasOwn(tree, name) && isTree(tree[name]) ? tree[name] : {};
    return { ...tree, [name]: withValue(inner, rest, value) };
  }
  const others = Object.fromEntries(Object.entries(tree).filter(([key]) => key !== name));
  return value === null ? others : { ...others, [name]: value };
}

function isTree(value: unknown): value is Tree {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
