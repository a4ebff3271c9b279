import { cac } from 'cac';
import { readFileSync } from 'node:fs';
import { formatLogLine, mergeLogLines, readLogLines } from './log-lines';

const EXIT_CODE_USAGE = 2;
const STDIN_FD = 0;

const cli = cac('sequoiaquay-logs');
cli
  .command(
    '[...files]',
    'merge the logs of several processes by time; reads standard input if no file is given',
  )
  .option('--event <name>', 'only lines of this event, for example job-ended')
  .option('--id <id>', 'only lines that concern this job, task, worker or VM')
  .action((files: string[], options: { event?: string; id?: number | string }) => {
    const id = options.id === undefined ? undefined : String(options.id);
    printLines(files.map(String), { event: options.event, id });
  });
cli.help();

try {
  cli.parse();
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(EXIT_CODE_USAGE);
}

function printLines(files: readonly string[], query: { event?: string; id?: string }): void {
  const texts = files.length === 0 ? [readText(STDIN_FD)] : files.map(readText);
  const lines = mergeLogLines(texts.flatMap(readLogLines), query);
  process.stdout.write(lines.map((line) => `${formatLogLine(line)}\n`).join(''));
}

function readText(file: number | string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`${String(file)}: cannot be read: ${String(error)}\n`);
    process.exit(EXIT_CODE_USAGE);
  }
}
