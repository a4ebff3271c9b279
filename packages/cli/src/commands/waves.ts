import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { CliError } from '../cli-error';
import type { Output } from '../output';
import type { CommandContext, CommandResult } from './command';

/** Prints the plan of a maintenance wave over VMs without starting the wave. */
export async function planWave({ client }: CommandContext, vms: readonly string[]): CommandResult {
  // A plan changes nothing, so the request may be repeated on any control.
  return toOutput(
    await client.change({ body: { vms }, method: 'POST', path: '/waves/plan', isRetryable: true }),
  );
}

/** Starts a maintenance wave over VMs. */
export async function startWave({ client }: CommandContext, vms: readonly string[]): CommandResult {
  return toOutput(await client.change({ body: { vms }, method: 'POST', path: '/waves', isRetryable: false }));
}

/** Prints the current maintenance wave. */
export async function showWave({ client }: CommandContext): CommandResult {
  return toOutput(await client.read('/waves/current'));
}

/** Stops a maintenance wave: it drains no further VMs. */
export async function stopWave({ client }: CommandContext, wave: string): CommandResult {
  const path = `/waves/${encodeURIComponent(wave)}`;
  return toOutput(await client.change({ method: 'DELETE', path, isRetryable: false }));
}

function toOutput(res: Result<unknown, CliError>): Result<Output, CliError> {
  return res.andThen((json) => ok({ json, lines: [JSON.stringify(json, undefined, 2)] }));
}
