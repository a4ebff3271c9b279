import { readFileSync } from 'node:fs';

// Passes over failed tests that KNOWN-RED.txt lists, and over no others.
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
// A run that failed without a failed test, for example in a hook, is not passed over.
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
