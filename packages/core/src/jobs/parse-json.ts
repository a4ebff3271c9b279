import type { Result } from 'neverthrow';
import type { core, ZodType } from 'zod';
import { err, ok } from 'neverthrow';

/** Most problems that an error names, and most characters of each: a text may have as many problems as values. */
const MAX_NAMED_PROBLEMS = 3;
const MAX_PROBLEM_LENGTH = 200;

/** Parses JSON text and validates it against a schema. The error names the first few problems of the text. */
export function parseJson<T>(text: string, schema: ZodType<T>): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(`not JSON: ${String(error).slice(0, MAX_PROBLEM_LENGTH)}`);
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error.issues));
}

function describeIssues(issues: readonly core.$ZodIssue[]): string {
  const named = issues.slice(0, MAX_NAMED_PROBLEMS).map(describeIssue);
  const others = issues.length - named.length;
  return [...named, ...(others > 0 ? [`and ${others} more`] : [])].join('; ');
}

function describeIssue({ message, path }: core.$ZodIssue): string {
  const place = path.length === 0 ? '' : `${path.join('.')}: `;
  return `${place}${message}`.slice(0, MAX_PROBLEM_LENGTH);
}
