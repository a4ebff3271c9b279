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

/** Lists the problems of a failed check as `path: message`. */
export function describeProblems(error: z.ZodError): string[] {
  return error.issues.map((issue) => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
}

/** Checks one value read from the log against a record schema. */
export function decodeRecord<T>(schema: ZodType<T>, raw: unknown): Result<T, DecodeError> {
  const parsed = schema.safeParse(raw);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err({ kind: kindOf(raw), problems: describeProblems(parsed.error) });
}

function kindOf(raw: unknown): string {
  const parsed = z.object({ kind: z.string().max(100) }).safeParse(raw);
  return parsed.success ? parsed.data.kind : 'unknown';
}
