import type { SettingsDifference, TeamBranch } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { settingsDifference, teamBranchSchema } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { readFileSync } from 'node:fs';
import * as z from 'zod';
import type { CliError } from '../cli-error';
import type { Output } from '../output';
import type { CommandContext, CommandResult } from './command';
import { usageError } from '../cli-error';
import { formatTime, formatValue } from '../output';
import { checkBranch, editBranch, getValueAt } from '../settings-edit';
import { readChecked } from './command';

const differenceSchema = z.object({
  from: z.unknown().optional(),
  path: z.string(),
  to: z.unknown().optional(),
});

const branchResponseSchema = z.object({
  branch: teamBranchSchema.nullable(),
  team: z.string(),
  version: z.int(),
});

const historySchema = z.object({
  changes: z.array(
    z.object({
      accepted: z.boolean(),
      at: z.number(),
      base: z.int(),
      by: z.string(),
      difference: z.array(differenceSchema).nullable(),
      reason: z.string(),
      version: z.int(),
    }),
  ),
});

const staleBaseResponseSchema = z.object({
  changedSince: z.array(
    z.object({ by: z.string(), difference: z.array(differenceSchema).nullable(), version: z.int() }),
  ),
  difference: z.array(differenceSchema),
  reason: z.literal('stale-base'),
  version: z.int(),
});

const acceptedResponseSchema = z.object({ version: z.int() });

const branchFileSchema = z.object({ branch: z.unknown(), version: z.int().min(0) });

/** Prints the team's settings branch, or the value at one path of it. */
export async function getSettings(context: CommandContext, path: string | undefined): CommandResult {
  const read = await readBranch(context);
  return read.map(({ json, value }) => {
    const shown: unknown = path === undefined ? value.branch : getValueAt(value.branch, path);
    return {
      json: path === undefined ? json : { path, value: shown ?? null, version: value.version },
      lines: [`team ${value.team}, version ${value.version}`, JSON.stringify(shown ?? null, undefined, 2)],
    };
  });
}

/** Sets one option, with the current version as the base of the change. */
export async function setOption(context: CommandContext, path: string, text: string): CommandResult {
  const read = await readBranch(context);
  if (read.isErr()) {
    return err(read.error);
  }
  const { branch, version } = read.value.value;
  const edited = editBranch(branch, path, text);
  return edited.isErr() ? err(edited.error) : submitBranch(context, branch, edited.value, version);
}

/** Replaces the branch with that of a file; the base is the version given in the file or else the current one. */
export async function applyFile(context: CommandContext, file: string): CommandResult {
  const desired = readBranchFile(file);
  if (desired.isErr()) {
    return err(desired.error);
  }
  const read = await readBranch(context);
  if (read.isErr()) {
    return err(read.error);
  }
  const { branch, version } = read.value.value;
  return submitBranch(context, branch, desired.value.branch, desired.value.version ?? version);
}

/** Prints the options in which a file differs from the current branch. */
export async function diffFile(context: CommandContext, file: string): CommandResult {
  const desired = readBranchFile(file);
  if (desired.isErr()) {
    return err(desired.error);
  }
  const read = await readBranch(context);
  return read.map(({ value }) => {
    const difference = settingsDifference(value.branch ?? undefined, desired.value.branch);
    const lines = difference.length === 0 ? ['no difference'] : difference.map(describeDifference);
    return { json: { difference, version: value.version }, lines };
  });
}

/** Prints the latest changes of the branch. */
export async function showHistory(context: CommandContext): CommandResult {
  const read = await readChecked(context, `/settings/${context.team}/history`, historySchema);
  return read.map(({ json, value }) => ({
    json,
    lines: value.changes.flatMap((change) => [
      `${formatTime(change.at)} ${change.by} on base ${change.base}: ${change.accepted ? `version ${change.version}` : `rejected, ${change.reason}`}`,
      ...(change.difference ?? []).map((difference) => `  ${describeDifference(difference)}`),
    ]),
  }));
}

async function submitBranch(
  { client, team }: CommandContext,
  current: TeamBranch | null,
  branch: TeamBranch,
  base: number,
): CommandResult {
  const difference = settingsDifference(current ?? undefined, branch);
  if (difference.length === 0) {
    return ok({ json: { accepted: true, difference, version: base }, lines: ['no change'] });
  }
  const res = await client.change({
    body: branch,
    headers: { 'if-match': String(base) },
    method: 'PUT',
    path: `/settings/${team}`,
    isRetryable: true,
  });
  return res.map((json) => toAcceptedOutput(json, difference)).mapErr(addStaleBaseDetails);
}

function toAcceptedOutput(json: unknown, difference: SettingsDifference[]): Output {
  const parsed = acceptedResponseSchema.safeParse(json);
  const version = parsed.success ? `, now version ${parsed.data.version}` : '';
  return {
    json: { accepted: true, difference, ...(parsed.success ? parsed.data : {}) },
    lines: [`accepted${version}`, ...difference.map(describeDifference)],
  };
}

function addStaleBaseDetails(error: CliError): CliError {
  const stale = staleBaseResponseSchema.safeParse(error.answer);
  if (!stale.success) {
    return error;
  }
  const changes = stale.data.changedSince.flatMap((change) =>
    (change.difference ?? []).map(
      (difference) => `  version ${change.version} by ${change.by}: ${describeDifference(difference)}`,
    ),
  );
  return {
    ...error,
    lines: [
      ...error.lines,
      `changes since the version that was read (current version: ${stale.data.version}):`,
      ...changes,
      'difference between the current version and your change:',
      ...stale.data.difference.map((difference) => `  ${describeDifference(difference)}`),
    ],
  };
}

function readBranch(
  context: CommandContext,
): Promise<Result<{ json: unknown; value: z.infer<typeof branchResponseSchema> }, CliError>> {
  return readChecked(context, `/settings/${context.team}`, branchResponseSchema);
}

// The file contains either a branch or the output of `settings get --json`, which includes the version.
function readBranchFile(file: string): Result<{ branch: TeamBranch; version?: number }, CliError> {
  return readJsonFile(file).andThen((value) => {
    const parsed = branchFileSchema.safeParse(value);
    const branch = checkBranch(parsed.success ? parsed.data.branch : value);
    return branch
      .map((checked) => ({ branch: checked, ...(parsed.success ? { version: parsed.data.version } : {}) }))
      .mapErr((error) => usageError(...error.lines.map((line) => `${file}: ${line}`)));
  });
}

function readJsonFile(file: string): Result<unknown, CliError> {
  try {
    return ok<unknown, CliError>(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    return err(usageError(`${file}: ${error instanceof Error ? error.message : String(error)}`));
  }
}

function describeDifference({ from, path, to }: SettingsDifference): string {
  return `${path}: ${formatValue(from)} -> ${formatValue(to)}`;
}
