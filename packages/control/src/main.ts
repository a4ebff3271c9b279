import '@sequoiaquay/runtime/install-fetch';
import {
  loadSettings,
  openLogger,
  readSecret,
  shutdownSignal,
  SystemTimerService,
} from '@sequoiaquay/runtime';
import { cac } from 'cac';
import { runControl } from './control';
import { controlSettingsSchema } from './control-settings';

const EXIT_USAGE = 2;

const cli = cac('sequoiaquay-control');
cli.option('--config <file>', 'settings file, JSON');
cli.option('--check-config <file>', 'check a settings file and exit');
cli.option('--listen <address>', 'overrides "listen" of the settings file');
cli.help();
const { options } = cli.parse();

const file = String(options.checkConfig ?? options.config ?? 'control.json');
const overrides = options.listen === undefined ? {} : { listen: String(options.listen) };
const loaded = loadSettings(file, controlSettingsSchema, overrides);
if (loaded.isErr()) {
  process.stderr.write(`${loaded.error.problems.map((problem) => `${file}: ${problem}`).join('\n')}\n`);
  process.exit(EXIT_USAGE);
}
const secret = readSecret(loaded.value.secretFile);
if (secret.isErr()) {
  process.stderr.write(
    `${secret.error.problems.map((problem) => `${secret.error.file}: ${problem}`).join('\n')}\n`,
  );
  process.exit(EXIT_USAGE);
}
if (options.checkConfig === undefined && options.help !== true) {
  const log = openLogger('sequoiaquay-control', loaded.value.logLevel).child({ process: loaded.value.name });
  await runControl(loaded.value, secret.value, log, new SystemTimerService(), shutdownSignal());
  process.exit(0);
}
