import { cac } from 'cac';
import type { Slope } from './slope';
import { costSlopes } from './cost-slopes';
import { findMismatches, MAX_RELATIVE_DIFFERENCE, readDocumentedSlopes } from './documented-slopes';
import { processSlopes } from './process-slopes';
import { stateSlopes } from './state-slopes';
import { workSlopes } from './work-slopes';

const cli = cac('capacity');
cli.option('--page <file>', 'page with the documented slopes to compare with', {
  default: 'docs/CAPACITY.md',
});
cli.option('--processes', 'measure control processes as well (about 2 minutes)');
cli.help();
const { options } = cli.parse();

if (options.help !== true) {
  const slopes = [
    ...stateSlopes(),
    ...workSlopes(),
    ...costSlopes(),
    ...(options.processes === true ? await processSlopes() : []),
  ];
  for (const slope of slopes) {
    process.stdout.write(`${formatSlope(slope)}\n`);
  }
  const mismatches = findMismatches(slopes, readDocumentedSlopes(String(options.page)));
  for (const mismatch of mismatches) {
    const page = mismatch.documented ?? 'nothing';
    process.stderr.write(`${mismatch.id}: the page says ${page}, measured ${mismatch.measured.toFixed(3)}\n`);
  }
  process.stdout.write(
    `${mismatches.length} slopes differ from the page by more than ${MAX_RELATIVE_DIFFERENCE * 100}%\n`,
  );
  process.exit(mismatches.length === 0 ? 0 : 1);
}

function formatSlope(slope: Slope): string {
  const points = slope.measurements
    .map((point) => `${point.size}: ${Number(point.value.toPrecision(5))}`)
    .join(', ');
  return `${slope.id} = ${Number(slope.perUnit.toPrecision(4))} ${slope.unit} (${points})`;
}
