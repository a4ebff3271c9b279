import type { TeamBranch } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { checkValue, teamBranchSchema } from '@sequoiaquay/core';
import { findOption } from '@sequoiaquay/runtime';
import { err } from 'neverthrow';
import type { CliError } from './cli-error';
import { usageError } from './cli-error';

type JsonObject = Record<string, unknown>;

/**
 * Returns a copy of a branch with one option set; the value `null` removes the option. Fails if the path does
 * not exist in the schema or the edited branch is invalid.
 */
export function editBranch(
  branch: TeamBranch | null,
  path: string,
  text: string,
): Result<TeamBranch, CliError> {
  const names = path.split('.');
  const option = findOption(teamBranchSchema, names);
  if (!option.isFound) {
    return err(
      usageError(`${path}: no such option (value ${text}); allowed here: ${option.allowedNames.join(', ')}`),
    );
  }
  const value = parseValue(text);
  const edited = setValueAt(structuredClone<JsonObject>(branch ?? { pools: {} }), names, value);
  return checkBranch(edited).mapErr((error) =>
    usageError(`${path}: the value ${text} is not allowed; allowed: ${option.type}`, ...error.lines),
  );
}

/** Validates a complete branch. */
export function checkBranch(value: unknown): Result<TeamBranch, CliError> {
  return checkValue(teamBranchSchema, value).mapErr((problems) => usageError(...problems));
}

/** Returns the value at a path of a branch, or undefined if there is none. */
export function getValueAt(branch: TeamBranch | null, path: string): unknown {
  let value: unknown = branch;
  for (const name of path.split('.')) {
    value = isJsonObject(value) && Object.hasOwn(value, name) ? value[name] : undefined;
  }
  return value;
}

// Text that is not valid JSON is used as a string, so that names need no quotes.
function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

// The names have been validated against the schema, which excludes inherited names such as "__proto__".
function setValueAt(tree: JsonObject, names: readonly string[], value: unknown): JsonObject {
  const [name = '', ...rest] = names;
  if (rest.length > 0) {
    const inner = Object.hasOwn(tree, name) && isJsonObject(tree[name]) ? tree[name] : {};
    return { ...tree, [name]: setValueAt(inner, rest, value) };
  }
  const others = Object.fromEntries(Object.entries(tree).filter(([key]) => key !== name));
  return value === null ? others : { ...others, [name]: value };
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
