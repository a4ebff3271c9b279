import type { ZodType } from 'zod';
import { cac } from 'cac';
import type { Logger } from './logger';
import type { SettingsError } from './settings-file';
import type { TimerService } from './timer-service';
import { createProcessLogger } from './logger';
import { processSignals } from './process-signals';
import { loadSettings, readSecret } from './settings-file';
import { SystemTimerService } from './timer-service';

/** Settings common to all binaries. */
export interface BinarySettings {
  logLevel: 'debug' | 'error' | 'info' | 'warn';
  name: string;
  /** File with the secret that the processes share. */
  secretFile: string;
}

/** Definition of a long-running executable. */
export interface Binary<S extends BinarySettings> {
  /** Settings file that is read unless the command line names another. */
  defaultSettingsFile: string;
  name: string;
  /** Runs the process until the signal aborts. */
  run: (cfg: S, secret: string, log: Logger, timers: TimerService, signal: AbortSignal) => Promise<void>;
  schema: ZodType<S>;
}

const EXIT_CODE_USAGE = 2;

/**
 * Parses the command line, validates the settings and runs a binary, then exits the process: with 0 when the
 * binary ends, with 2 if the settings are invalid.
 */
export async function runBinary<S extends BinarySettings>(binary: Binary<S>): Promise<void> {
  const options = parseArguments(binary.name);
  if (options.help === true) {
    return;
  }
  const file = String(options.checkConfig ?? options.config ?? binary.defaultSettingsFile);
  const overrides = options.listen === undefined ? {} : { listen: String(options.listen) };
  const loaded = loadSettings(file, binary.schema, overrides).andThen((cfg) =>
    readSecret(cfg.secretFile).map((secret) => ({ cfg, secret })),
  );
  if (loaded.isErr()) {
    return exitWithUsageError(loaded.error);
  }
  if (options.checkConfig !== undefined) {
    return;
  }
  const { cfg, secret } = loaded.value;
  const log = createProcessLogger(binary.name, cfg.logLevel).child({ process: cfg.name });
  processSignals.onReload(() => {
    log.warn('SIGHUP ignored: the settings are read at the start only');
  }, new AbortController().signal);
  await binary.run(cfg, secret, log, new SystemTimerService(), processSignals.stop);
  process.exit(0);
}

function parseArguments(name: string): Record<string, boolean | string | undefined> {
  const cli = cac(name);
  cli.option('--config <file>', 'settings file, JSON');
  cli.option('--check-config <file>', 'check a settings file and exit');
  cli.option('--listen <address>', 'overrides "listen" of the settings file');
  cli.help();
  return cli.parse().options;
}

function exitWithUsageError(error: SettingsError): never {
  const lines = error.problems.map((problem) => `${error.file}: ${problem}`);
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exit(EXIT_CODE_USAGE);
}
