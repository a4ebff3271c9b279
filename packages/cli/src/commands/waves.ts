import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { CliError } from '../cli-error';
import type { Output } from '../output';
import type { CommandContext, CommandResult } from './command';

/** Prints the plan of a wave over VMs without starting it. */
export async function planWave({ client }: CommandContext, vms: readonly string[]): CommandResult {
  // A plan changes nothing, so that any control may be asked again.
  return toOutput(
    await client.change({ body: { vms }, method: 'POST', path: '/waves/plan', isRecorded: true }),
  );
}

/** Starts a wave over VMs. */
export async function startWave({ client }: CommandContext, vms: readonly string[]): CommandResult {
  return toOutput(await client.change({ body: { vms }, method: 'POST', path: '/waves', isRecorded: false }));
}

/** Prints the current wave. */
export async function showWave({ client }: CommandContext): CommandResult {
  return toOutput(await client.read('/waves/current'));
}

/** Stops a wave: no further VM is drained for it. */
export async function stopWave({ client }: CommandContext, wave: string): CommandResult {
  const path = `/waves/${encodeURIComponent(wave)}`;
  return toOutput(await client.change({ method: 'DELETE', path, isRecorded: false }));
}

function toOutput(answer: Result<unknown, CliError>): Result<Output, CliError> {
  return answer.andThen((json) => ok({ json, lines: [JSON.stringify(json, undefined, 2)] }));
}
