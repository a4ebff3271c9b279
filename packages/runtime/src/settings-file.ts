import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { checkValue } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { readFileSync } from 'node:fs';

/** Error for a file that cannot be read or is invalid, with all problems found. */
export interface SettingsError {
  file: string;
  problems: string[];
}

/** Reads a JSON settings file, overrides its top-level values and validates the result against a schema. */
export function loadSettings<T>(
  file: string,
  schema: ZodType<T>,
  overrides: Record<string, unknown> = {},
): Result<T, SettingsError> {
  return readJson(file).andThen((raw) => {
    const merged =
      typeof raw === 'object' && raw !== null && !Array.isArray(raw) ? { ...raw, ...overrides } : raw;
    return checkValue(schema, merged).mapErr((problems) => ({ file, problems }));
  });
}

/** Reads a secret from a file and trims surrounding white space; fails if the secret is empty. */
export function readSecret(file: string): Result<string, SettingsError> {
  return readText(file).andThen((text) => {
    const secret = text.trim();
    return secret.length > 0 ? ok(secret) : err({ file, problems: ['the secret file is empty'] });
  });
}

function readJson(file: string): Result<unknown, SettingsError> {
  return readText(file).andThen((text) => {
    try {
      return ok<unknown, SettingsError>(JSON.parse(text));
    } catch (error) {
      return err({ file, problems: [`not JSON: ${String(error)}`] });
    }
  });
}

function readText(file: string): Result<string, SettingsError> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return err({ file, problems: [`cannot be read: ${String(error)}`] });
  }
}
