import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { err, ok } from 'neverthrow';
import * as z from 'zod';

/** Error for a record that this version can't apply: it is hostile, truncated, or from a newer version. */
export interface DecodeError {
  /** Kind of the record; 'unknown' when the record has none. */
  kind: string;
  /** Problems of the invalid fields, as `path: message`. */
  problems: string[];
}

const FORBIDDEN_NAME = '__proto__';

/** Maximum depth of the search for forbidden names; no schema is deeper. */
const MAX_DEPTH = 32;

/** Returns the problems of a failed validation as `path: message`. */
export function describeProblems(error: z.ZodError): string[] {
  return error.issues.map((issue) => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
}

/** Validates a value that was read from the log against a record schema. */
export function decodeRecord<T>(schema: ZodType<T>, raw: unknown): Result<T, DecodeError> {
  return checkValue(schema, raw).mapErr((problems) => ({ kind: kindOf(raw), problems }));
}

/** Validates an untrusted value against a schema; fails with the problems as `path: message`. */
export function checkValue<T>(schema: ZodType<T>, raw: unknown): Result<T, string[]> {
  const forbidden = findForbiddenNames(raw, []);
  if (forbidden.length > 0) {
    return err(forbidden.map((path) => `${path}: the property name is not allowed`));
  }
  const parsed = schema.safeParse(raw);
  return parsed.success ? ok(parsed.data) : err(describeProblems(parsed.error));
}

// Parsed JSON can have an own property "__proto__". The schemas drop it without an error, so a pool of that name
// would be lost silently.
function findForbiddenNames(value: unknown, path: readonly string[]): string[] {
  if (typeof value !== 'object' || value === null || path.length > MAX_DEPTH) {
    return [];
  }
  const own = Object.hasOwn(value, FORBIDDEN_NAME) ? [[...path, FORBIDDEN_NAME].join('.')] : [];
  const inner = Object.entries(value).filter(([name]) => name !== FORBIDDEN_NAME);
  return [...own, ...inner.flatMap(([name, child]) => findForbiddenNames(child, [...path, name]))];
}

function kindOf(raw: unknown): string {
  const parsed = z.object({ kind: z.string().max(100) }).safeParse(raw);
  return parsed.success ? parsed.data.kind : 'unknown';
}
