import type { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import { err, ok } from 'neverthrow';
import type { CliError } from '../cli-error';
import type { ControlClient } from '../control-client';
import type { Output } from '../output';

/** Context in which a command runs. */
export interface CommandContext {
  client: ControlClient;
  /** Team whose settings the command reads or changes. */
  team: string;
}

/** Result of a command. */
export type CommandResult = Promise<Result<Output, CliError>>;

/** Reads a path and validates the response against a schema that covers the part to be printed. */
export async function readChecked<T>(
  { client }: CommandContext,
  path: string,
  schema: ZodType<T>,
): Promise<Result<{ json: unknown; value: T }, CliError>> {
  const res = await client.read(path);
  return res.andThen((json) => {
    const parsed = schema.safeParse(json);
    return parsed.success
      ? ok({ json, value: parsed.data })
      : err<never, CliError>({
          answer: json,
          kind: 'unreachable',
          lines: [`unexpected response to ${path}; the control may be of a different version`],
        });
  });
}
