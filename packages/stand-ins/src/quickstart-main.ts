import '@sequoiaquay/runtime/install-fetch';
import { runQuickstart } from './quickstart';

const startedAt = performance.now();
try {
  await runQuickstart((line) => process.stdout.write(`${line}\n`));
  process.stdout.write(`Took ${((performance.now() - startedAt) / 1000).toFixed(1)} s.\n`);
  process.exit(0);
} catch (error) {
  process.stderr.write(`quickstart failed: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
}
