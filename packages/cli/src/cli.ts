import type { CAC } from 'cac';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { CliError } from './cli-error';
import type { CommandInvocation, Flags } from './command-line';
import type { Output } from './output';
import { EXIT_CODE, usageError } from './cli-error';
import { checkSettings, loadAccess } from './cli-settings';
import { defineCommands, flagsSchema } from './command-line';
import { ControlClient } from './control-client';

/** Output streams of the command line. */
export interface CliStreams {
  err: (text: string) => void;
  out: (text: string) => void;
}

/** Runs a command line, given without the program name, and returns its exit code. */
export async function runCli(argv: readonly string[], streams: CliStreams): Promise<number> {
  const json = argv.includes('--json');
  const result = await parseAndRun(argv);
  return result.match(
    (output) => {
      writeLines(streams.out, json ? [JSON.stringify(output.json)] : output.lines);
      return EXIT_CODE.ok;
    },
    (error) => {
      const exit = EXIT_CODE[error.kind];
      if (json) {
        const { answer, kind, lines } = error;
        writeLines(streams.out, [JSON.stringify({ error: { answer: answer ?? null, kind, lines }, exit })]);
      } else {
        writeLines(streams.err, error.lines);
      }
      return exit;
    },
  );
}

async function parseAndRun(argv: readonly string[]): Promise<Result<Output, CliError>> {
  let invocation: Result<CommandInvocation, CliError> | undefined;
  const cli = defineCommands((selected) => {
    invocation = selected;
  });
  const parsed = parse(cli, argv);
  if (parsed.isErr()) {
    return err(parsed.error);
  }
  const flags = parsed.value;
  if (flags.help === true) {
    return ok({ json: null, lines: [] });
  }
  if (flags.checkConfig !== undefined) {
    const file = flags.checkConfig;
    return checkSettings(file).map(() => ({ json: { ok: true }, lines: [`${file}: ok`] }));
  }
  if (invocation === undefined) {
    const names = cli.commands.map((command) => command.name).join(', ');
    return err(usageError(`command: ${argv[0] ?? '(none)'} is not allowed; allowed: ${names}`));
  }
  return invocation.isErr() ? err(invocation.error) : runWithAccess(flags, invocation.value);
}

async function runWithAccess(flags: Flags, run: CommandInvocation): Promise<Result<Output, CliError>> {
  const access = loadAccess(flags.config, {
    ...(flags.control === undefined ? {} : { controls: flags.control }),
    ...(flags.team === undefined ? {} : { team: flags.team }),
    ...(flags.timeoutMs === undefined ? {} : { timeoutMs: flags.timeoutMs }),
    ...(flags.tokenFile === undefined ? {} : { tokenFile: flags.tokenFile }),
  });
  if (access.isErr()) {
    return err(access.error);
  }
  const client = new ControlClient(access.value);
  const result = await run({ client, team: access.value.settings.team });
  await client.close();
  return result;
}

// The argument parser throws on invalid arguments; the exceptions are converted into errors here.
function parse(cli: CAC, argv: readonly string[]): Result<Flags, CliError> {
  try {
    cli.parse(['node', 'sequoiaquay', ...argv], { run: false });
    if (cli.matchedCommand !== undefined && cli.options.help !== true) {
      cli.runMatchedCommand();
    }
  } catch (error) {
    return err(usageError(error instanceof Error ? error.message : String(error)));
  }
  const flags = flagsSchema.safeParse(cli.options);
  return flags.success
    ? ok(flags.data)
    : err(usageError(...flags.error.issues.map((issue) => issue.message)));
}

function writeLines(write: (text: string) => void, lines: readonly string[]): void {
  if (lines.length > 0) {
    write(`${lines.join('\n')}\n`);
  }
}
