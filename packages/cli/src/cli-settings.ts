import type { Result } from 'neverthrow';
import { describeProblems, nameSchema } from '@sequoiaquay/core';
import { addressSchema, loadSettings, readSecret } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import { existsSync } from 'node:fs';
import * as z from 'zod';
import type { CliError } from './cli-error';
import { usageError } from './cli-error';

/** Schema of the settings of the command line. Times in milliseconds. */
export const cliSettingsSchema = z.strictObject({
  /** Addresses of the controls, tried in this order. */
  controls: z.array(addressSchema).min(1),
  /** Team whose settings the commands read and change. */
  team: nameSchema,
  /** Time limit for one call to a control. */
  timeoutMs: z.int().min(100).default(12_000),
  /** File with the team's bearer token. */
  tokenFile: z.string().min(1),
});

/** Settings of the command line. */
export type CliSettings = z.infer<typeof cliSettingsSchema>;

/** Settings file that is read unless the command line names another. */
export const DEFAULT_SETTINGS_FILE = 'sequoiaquay.json';

/** Settings and bearer token for access to the controls. */
export interface CliAccess {
  settings: CliSettings;
  token: string;
}

/** Reads the settings file, overrides its values with those of the flags and reads the token file. */
export function loadAccess(
  file: string | undefined,
  flags: Record<string, unknown>,
): Result<CliAccess, CliError> {
  return readSettings(file, flags).andThen((settings) =>
    readSecret(settings.tokenFile)
      .map((token) => ({ settings, token }))
      .mapErr((error) =>
        usageError(...error.problems.map((problem) => `tokenFile ${error.file}: ${problem}`)),
      ),
  );
}

/** Reads and validates a settings file. */
export function checkSettings(file: string): Result<CliSettings, CliError> {
  return readSettings(file, {});
}

function readSettings(
  file: string | undefined,
  flags: Record<string, unknown>,
): Result<CliSettings, CliError> {
  if (file === undefined && !existsSync(DEFAULT_SETTINGS_FILE)) {
    const parsed = cliSettingsSchema.safeParse(flags);
    return parsed.success
      ? ok(parsed.data)
      : err(
          usageError(
            `${DEFAULT_SETTINGS_FILE} does not exist and the flags do not provide all required settings`,
            ...describeProblems(parsed.error),
          ),
        );
  }
  return loadSettings(file ?? DEFAULT_SETTINGS_FILE, cliSettingsSchema, flags).mapErr((error) =>
    usageError(...error.problems.map((problem) => `${error.file}: ${problem}`)),
  );
}
