import type { CAC } from 'cac';
import type { Result } from 'neverthrow';
import { cac } from 'cac';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { CliError } from './cli-error';
import type { CommandContext, CommandResult } from './commands/command';
import { usageError } from './cli-error';
import { drainVm, listPools, listVms, moveVm, undrainVm } from './commands/fleet';
import { explain, listTasks, showStatus, showTimeline } from './commands/inspect';
import { applyFile, diffFile, getSettings, setOption, showHistory } from './commands/settings';
import { planWave, showWave, startWave, stopWave } from './commands/waves';

/** Schema of the flag values; coerces values such as ids, which the argument parser may return as numbers. */
export const flagsSchema = z.object({
  checkConfig: z.coerce.string().optional(),
  config: z.coerce.string().optional(),
  control: z.union([z.array(z.coerce.string()), z.coerce.string().transform((one) => [one])]).optional(),
  from: z.coerce.string().optional(),
  help: z.boolean().optional(),
  id: z.coerce.string().optional(),
  json: z.boolean().default(false),
  limit: z.coerce.string().optional(),
  purpose: z.coerce.string().default('reboot'),
  sinceMs: z.coerce.string().optional(),
  team: z.coerce.string().optional(),
  timeoutMs: z.coerce.number().optional(),
  tokenFile: z.coerce.string().optional(),
});
/** Parsed flags of a command line. */
export type Flags = z.infer<typeof flagsSchema>;

/** Command bound to its arguments. */
export type CommandInvocation = (context: CommandContext) => CommandResult;

type OnInvocation = (run: Result<CommandInvocation, CliError>) => void;

/** Defines all commands. Parsing a command line passes the command that it names to `onInvocation`. */
export function defineCommands(onInvocation: OnInvocation): CAC {
  const cli = cac('sequoiaquay');
  cli.option('--check-config <file>', 'check a settings file and exit');
  cli.option('--config <file>', 'settings file, JSON (default: sequoiaquay.json)');
  cli.option('--control <address>', 'address of a control, host:port; may be repeated');
  cli.option('--json', 'print the response as JSON');
  cli.option('--team <team>', 'overrides "team" of the settings file');
  cli.option('--timeout-ms <ms>', 'time limit for one call to a control');
  cli.option('--token-file <file>', 'file with the bearer token of the team');
  cli.help();
  defineWriteCommands(cli, onInvocation);
  defineReadCommands(cli, onInvocation);
  return cli;
}

function defineWriteCommands(cli: CAC, choose: OnInvocation): void {
  cli
    .command('settings <action> [...args]', 'get [PATH] | set PATH VALUE | apply FILE | diff FILE | history')
    .action((action: string, args: string[]) => {
      choose(parseSettingsAction(action, args.map(String)));
    });
  cli
    .command('drain <vm>', 'drain a VM')
    .option('--purpose <purpose>', 'reboot or remove')
    .action((vm: string, options: { purpose?: string }) => {
      choose(ok((context) => drainVm(context, vm, options.purpose ?? 'reboot')));
    });
  cli.command('undrain <vm>', 'return a draining VM to service').action((vm: string) => {
    choose(ok((context) => undrainVm(context, vm)));
  });
  cli
    .command('move <vm> <pool>', 'drain a VM and move it to another pool')
    .option('--from <pool>', 'refuse unless the VM is in this pool')
    .action((vm: string, pool: string, options: { from?: string }) => {
      choose(ok((context) => moveVm(context, vm, pool, options.from)));
    });
  cli
    .command('wave <action> [...args]', 'plan VM... | start VM... | status | stop WAVE')
    .action((action: string, args: string[]) => {
      choose(parseWaveAction(action, args.map(String)));
    });
}

function defineReadCommands(cli: CAC, choose: OnInvocation): void {
  cli.command('pools', 'list pools').action(() => {
    choose(ok(listPools));
  });
  cli.command('vms', 'list VMs').action(() => {
    choose(ok(listVms));
  });
  cli.command('tasks', 'list tasks').action(() => {
    choose(ok(listTasks));
  });
  cli.command('status', 'show the settings versions in force and the state of each entry').action(() => {
    choose(ok(showStatus));
  });
  cli
    .command('explain <kind> <id>', 'explain the state of a vm, pool, task or request')
    .action((kind: string, id: string) => {
      choose(ok((context) => explain(context, kind, id)));
    });
  cli
    .command('timeline', 'list the events of all processes in causal order')
    .option('--id <id>', 'only events that concern this request, record, VM or member')
    .option('--limit <n>', 'maximum number of events, up to 2000')
    .option('--since-ms <ms>', 'only events at or after this time, in ms since the epoch')
    .action((options: Record<string, unknown>) => {
      const { id, limit, sinceMs } = flagsSchema.parse(options);
      const query = Object.entries({ id, limit, sinceMs }).filter(([, value]) => value !== undefined);
      choose(ok((context) => showTimeline(context, Object.fromEntries(query))));
    });
}

function parseSettingsAction(action: string, args: readonly string[]): Result<CommandInvocation, CliError> {
  const [first, second] = args;
  switch (action) {
    case 'apply':
      return first === undefined || args.length > 1
        ? wrongUsage('settings apply FILE')
        : ok((context) => applyFile(context, first));
    case 'diff':
      return first === undefined || args.length > 1
        ? wrongUsage('settings diff FILE')
        : ok((context) => diffFile(context, first));
    case 'get':
      return args.length > 1
        ? wrongUsage('settings get [PATH]')
        : ok((context) => getSettings(context, first));
    case 'history':
      return args.length > 0 ? wrongUsage('settings history') : ok(showHistory);
    case 'set':
      return first === undefined || second === undefined || args.length > 2
        ? wrongUsage('settings set PATH VALUE')
        : ok((context) => setOption(context, first, second));
    default:
      return unknownAction('settings', action, 'get, set, apply, diff, history');
  }
}

function parseWaveAction(action: string, args: readonly string[]): Result<CommandInvocation, CliError> {
  const [first] = args;
  switch (action) {
    case 'plan':
      return first === undefined ? wrongUsage('wave plan VM...') : ok((context) => planWave(context, args));
    case 'start':
      return first === undefined ? wrongUsage('wave start VM...') : ok((context) => startWave(context, args));
    case 'status':
      return args.length > 0 ? wrongUsage('wave status') : ok(showWave);
    case 'stop':
      return first === undefined || args.length > 1
        ? wrongUsage('wave stop WAVE')
        : ok((context) => stopWave(context, first));
    default:
      return unknownAction('wave', action, 'plan, start, status, stop');
  }
}

function wrongUsage(usage: string): Result<CommandInvocation, CliError> {
  return err(usageError(`usage: sequoiaquay ${usage}`));
}

function unknownAction(
  command: string,
  action: string,
  allowed: string,
): Result<CommandInvocation, CliError> {
  return err(usageError(`${command}: the action ${action} is not allowed; allowed: ${allowed}`));
}
