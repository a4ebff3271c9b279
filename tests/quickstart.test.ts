import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { BinaryProcess } from './support/process';

// Guards against a quickstart that fails, takes longer than the test timeout of a minute, or skips the main
// example.
it('runs the quickstart to its end within a minute', async () => {
  const output = join(mkdtempSync(join(tmpdir(), 'sequoiaquay-quickstart-')), 'output.log');
  const quickstart = new BinaryProcess('quickstart', [], output);
  const code = await quickstart.exited;
  const text = readFileSync(output, 'utf8');
  expect(code, text).toBe(0);
  expect(text).toContain('the targets ran the charge 1 time');
  expect(text).toContain('refused, budget');
  expect(text).toContain('== Done');
});
