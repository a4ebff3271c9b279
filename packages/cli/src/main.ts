import { runCli } from './cli';

process.exitCode = await runCli(process.argv.slice(2), {
  err: (text) => process.stderr.write(text),
  out: (text) => process.stdout.write(text),
});
