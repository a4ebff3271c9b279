import type { ZodType } from 'zod';
import { cliSettingsSchema } from '@sequoiaquay/cli';
import { controlSettingsSchema } from '@sequoiaquay/control';
import { entrySettingsSchema } from '@sequoiaquay/entry';
import { loadSettings } from '@sequoiaquay/runtime';
import fc from 'fast-check';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { BinaryProcess } from './support/process';

const SEED = 20261204;
const directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-settings-'));
const settingsFile = join(directory, 'settings.json');

const COMMON_SETTINGS = {
  listen: '127.0.0.1:1',
  name: 'a',
  platform: { addresses: ['http://127.0.0.1:2'] },
  secretFile: join(directory, 'secret'),
  vm: 'vm-0',
  zone: 'z',
};
const ENTRY_SETTINGS = { ...COMMON_SETTINGS, controls: ['127.0.0.1:3'], peerListen: '127.0.0.1:4' };

// Runs a binary with `--check-config` on a file with the given content.
async function runCheckConfig(
  binary: string,
  value: unknown,
): Promise<{ exit: number | null; output: string }> {
  const log = join(directory, 'output.log');
  writeFileSync(log, '');
  writeFileSync(settingsFile, typeof value === 'string' ? value : JSON.stringify(value));
  writeFileSync(COMMON_SETTINGS.secretFile, 'secret');
  const exit = await new BinaryProcess(binary, ['--check-config', settingsFile], log).exited;
  return { exit, output: readFileSync(log, 'utf8') };
}

// Guards against a check that starts the process, or reports only some of the errors of a file.
describe('--check-config', () => {
  it.each([
    ['sequoiaquay-entry', ENTRY_SETTINGS],
    ['sequoiaquay-control', COMMON_SETTINGS],
  ])('of %s accepts a valid file and starts nothing', async (binary, value) => {
    expect(await runCheckConfig(binary, value)).toEqual({ exit: 0, output: '' });
  });

  it.each([
    ['sequoiaquay-entry', '{', ['not JSON']],
    ['sequoiaquay-entry', '[]', ['(root)']],
    [
      'sequoiaquay-entry',
      { ...ENTRY_SETTINGS, controls: [], keyWindowMs: 'long' },
      ['controls', 'keyWindowMs'],
    ],
    ['sequoiaquay-entry', { ...ENTRY_SETTINGS, controls: ['host:1'], listen: 'x' }, ['controls.0', 'listen']],
    [
      'sequoiaquay-entry',
      { ...ENTRY_SETTINGS, tasks: { leaseMs: 1, tickMs: -1 } },
      ['tasks.leaseMs', 'tasks.tickMs'],
    ],
    ['sequoiaquay-control', { ...COMMON_SETTINGS, colour: 'red', peers: [1] }, ['colour', 'peers.0']],
    ['sequoiaquay-control', { ...COMMON_SETTINGS, teamTokens: { voyages: 'x' } }, ['teamTokens.voyages']],
    ['sequoiaquay-control', { ...COMMON_SETTINGS, platform: { addresses: ['x'] } }, ['platform.addresses.0']],
    ['sequoiaquay-control', { ...COMMON_SETTINGS, secretFile: '/nowhere/secret' }, ['/nowhere/secret']],
  ])('of %s lists every error of %j with its path', async (binary, value, problems) => {
    const { exit, output } = await runCheckConfig(binary, value);
    expect(exit).toBe(2);
    for (const problem of problems) {
      expect(output).toContain(problem);
    }
  });
});

// Guards against files that make the parser throw, are accepted without their required options, or change the
// prototype of objects.
describe('settings parser', () => {
  it.each([
    ['entry', entrySettingsSchema, ENTRY_SETTINGS],
    ['control', controlSettingsSchema, COMMON_SETTINGS],
    ['cli', cliSettingsSchema, { controls: ['127.0.0.1:1'], team: 'voyages', tokenFile: 'token' }],
  ] as const)('of %s returns an error for malformed files and never throws', (_name, schema, valid) => {
    const malformed = fc.oneof(
      fc.string(),
      fc.json(),
      fc.constantFrom('{"__proto__":{"listen":"127.0.0.1:1"}}', '{"constructor":1}', '"x"', 'null'),
      fc.nat(JSON.stringify(valid).length - 1).map((end) => JSON.stringify(valid).slice(0, end)),
    );
    fc.assert(
      fc.property(malformed, (text) => {
        writeFileSync(settingsFile, text);
        const problems = loadSettings(settingsFile, schema as ZodType)._unsafeUnwrapErr().problems;
        expect(problems.length).toBeGreaterThan(0);
        expect({}).not.toHaveProperty('listen');
      }),
      { numRuns: 300, seed: SEED },
    );
  });
});
