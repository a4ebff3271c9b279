import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { err, ok } from 'neverthrow';
import * as z from 'zod';

/** A record that this version can't apply: hostile, truncated, or of a newer version. */
export interface DecodeError {
  /** Kind named by the record, when it names one. */
  kind: string;
  /** Paths and messages of the fields that don't fit. */
  problems: string[];
}

const HIDDEN_NAME = '__proto__';

/** Levels that are searched for hidden names; no schema goes deeper. */
const MAX_DEPTH = 32;

/** Lists the problems of a failed check as `path: message`. */
export function describeProblems(error: z.ZodError): string[] {
  return error.issues.map((issue) => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
}

/** Checks one value read from the log against a record schema. */
export function decodeRecord<T>(schema: ZodType<T>, raw: unknown): Result<T, DecodeError> {
  return checkValue(schema, raw).mapErr((problems) => ({ kind: kindOf(raw), problems }));
}

/** Checks a value that came from outside against a schema; fails with the problems as `path: message`. */
export function checkValue<T>(schema: ZodType<T>, raw: unknown): Result<T, string[]> {
  const hidden = findHiddenNames(raw, []);
  if (hidden.length > 0) {
    return err(hidden.map((path) => `${path}: the name is not allowed`));
  }
  const parsed = schema.safeParse(raw);
  return parsed.success ? ok(parsed.data) : err(describeProblems(parsed.error));
}

// A parsed JSON text can have a member "__proto__". The schemas drop it without an error, so that a pool of
// that name would be lost.
function findHiddenNames(value: unknown, path: readonly string[]): string[] {
  if (typeof value !== 'object' || value === null || path.length > MAX_DEPTH) {
    return [];
  }
  const own = Object.hasOwn(value, HIDDEN_NAME) ? [[...path, HIDDEN_NAME].join('.')] : [];
  const inner = Object.entries(value).filter(([name]) => name !== HIDDEN_NAME);
  return [...own, ...inner.flatMap(([name, child]) => findHiddenNames(child, [...path, name]))];
}

function kindOf(raw: unknown): string {
  const parsed = z.object({ kind: z.string().max(100) }).safeParse(raw);
  return parsed.success ? parsed.data.kind : 'unknown';
}
