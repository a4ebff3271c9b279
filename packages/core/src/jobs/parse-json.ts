import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { err, ok } from 'neverthrow';

/** Parses JSON text and validates it against a schema. The error describes why the text is invalid. */
export function parseJson<T>(text: string, schema: ZodType<T>): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(`not JSON: ${String(error)}`);
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(parsed.error.message);
}
