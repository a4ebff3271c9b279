import { readFileSync } from 'node:fs';

// Exits with 0 if a Vitest JSON report contains failed tests and KNOWN-RED.txt lists all of them, else with 1.
// Usage: node scripts/check-known-red.mjs REPORT
const ENTRY = /^(\S+\.test\.ts) "(.+)"$/;

const known = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .flatMap((line) => {
    const match = ENTRY.exec(line);
    return match === null ? [] : [{ file: match[1], name: match[2] }];
  });

const report = JSON.parse(readFileSync(process.argv[2], 'utf8'));
const failed = report.testResults.flatMap((file) => failuresOf(file));
const unknown = failed.filter((test) => !known.some((entry) => isSame(entry, test)));

for (const test of failed) {
  console.log(`${unknown.includes(test) ? 'FAILED' : 'known red'}: ${test.file} "${test.name}"`);
}
// A failed run without a failed test, for example because of an error in a hook, isn't tolerated.
process.exit(failed.length > 0 && unknown.length === 0 ? 0 : 1);

function failuresOf(file) {
  const tests = file.assertionResults.filter((test) => test.status === 'failed');
  if (tests.length === 0 && file.status === 'failed') {
    return [{ file: file.name, name: 'the whole file' }];
  }
  return tests.map((test) => ({ file: file.name, name: test.title }));
}

function isSame(entry, test) {
  return test.file.endsWith(`/${entry.file}`) && test.name.startsWith(entry.name);
}
