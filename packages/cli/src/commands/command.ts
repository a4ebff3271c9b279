import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { err, ok } from 'neverthrow';
import type { CliError } from '../cli-error';
import type { ControlClient } from '../control-client';
import type { Output } from '../output';

/** What a command works with. */
export interface CommandContext {
  client: ControlClient;
  team: string;
}

/** Result of a command. */
export type CommandResult = Promise<Result<Output, CliError>>;

/** Reads a path and checks the answer against the part of it that is printed. */
export async function readChecked<T>(
  { client }: CommandContext,
  path: string,
  schema: ZodType<T>,
): Promise<Result<{ json: unknown; value: T }, CliError>> {
  const answer = await client.read(path);
  return answer.andThen((json) => {
    const parsed = schema.safeParse(json);
    return parsed.success
      ? ok({ json, value: parsed.data })
      : err<never, CliError>({
          answer: json,
          kind: 'unreachable',
          lines: [`unexpected answer to ${path}: is this a control of the same version?`],
        });
  });
}
