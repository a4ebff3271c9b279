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
const file = join(directory, 'settings.json');

const COMMON = {
  listen: '127.0.0.1:1',
  name: 'a',
  platform: { addresses: ['http://127.0.0.1:2'] },
  secretFile: join(directory, 'secret'),
  vm: 'vm-0',
  zone: 'z',
};
const ENTRY = { ...COMMON, controls: ['127.0.0.1:3'], peerListen: '127.0.0.1:4' };

async function check(binary: string, value: unknown): Promise<{ exit: number | null; output: string }> {
  const log = join(directory, 'output.log');
  writeFileSync(log, '');
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
  writeFileSync(COMMON.secretFile, 'secret');
  const exit = await new BinaryProcess(binary, ['--check-config', file], log).exited;
  return { exit, output: readFileSync(log, 'utf8') };
}

describe('--check-config', () => {
  it.each([
    ['sequoiaquay-entry', ENTRY],
    ['sequoiaquay-control', COMMON],
  ])('of %s accepts a good file and starts nothing', async (binary, value) => {
    expect(await check(binary, value)).toEqual({ exit: 0, output: '' });
  });

  it.each([
    ['sequoiaquay-entry', '{', ['not JSON']],
    ['sequoiaquay-entry', '[]', ['(root)']],
    ['sequoiaquay-entry', { ...ENTRY, controls: [], keyWindowMs: 'long' }, ['controls', 'keyWindowMs']],
    ['sequoiaquay-entry', { ...ENTRY, controls: ['host:1'], listen: 'x' }, ['controls.0', 'listen']],
    ['sequoiaquay-entry', { ...ENTRY, tasks: { leaseMs: 1, tickMs: -1 } }, ['tasks.leaseMs', 'tasks.tickMs']],
    ['sequoiaquay-control', { ...COMMON, colour: 'red', peers: [1] }, ['colour', 'peers.0']],
    ['sequoiaquay-control', { ...COMMON, teamTokens: { voyages: 'x' } }, ['teamTokens.voyages']],
    ['sequoiaquay-control', { ...COMMON, platform: { addresses: ['x'] } }, ['platform.addresses.0']],
    ['sequoiaquay-control', { ...COMMON, secretFile: '/nowhere/secret' }, ['/nowhere/secret']],
  ])('of %s lists every error of %j with its path', async (binary, value, problems) => {
    const { exit, output } = await check(binary, value);
    expect(exit).toBe(2);
    for (const problem of problems) {
      expect(output).toContain(problem);
    }
  });
});

describe('settings parser', () => {
  it.each([
    ['entry', entrySettingsSchema, ENTRY],
    ['control', controlSettingsSchema, COMMON],
    ['cli', cliSettingsSchema, { controls: ['127.0.0.1:1'], team: 'voyages', tokenFile: 'token' }],
  ] as const)('of %s gives an error for hostile files and never throws', (_name, schema, good) => {
    const hostile = fc.oneof(
      fc.string(),
      fc.json(),
      fc.constantFrom('{"__proto__":{"listen":"127.0.0.1:1"}}', '{"constructor":1}', '"x"', 'null'),
      fc.nat(JSON.stringify(good).length - 1).map((end) => JSON.stringify(good).slice(0, end)),
    );
    fc.assert(
      fc.property(hostile, (text) => {
        writeFileSync(file, text);
        const problems = loadSettings(file, schema as ZodType)._unsafeUnwrapErr().problems;
        expect(problems.length).toBeGreaterThan(0);
        expect({}).not.toHaveProperty('listen');
      }),
      { numRuns: 300, seed: SEED },
    );
  });
});
