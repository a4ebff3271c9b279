import type { ZodType } from 'zod';
import { cliSettingsSchema } from '@sequoiaquay/cli';
import { controlSettingsSchema } from '@sequoiaquay/control';
import { teamBranchSchema } from '@sequoiaquay/core';
import { entrySettingsSchema } from '@sequoiaquay/entry';
import { nodeSettingsSchema } from '@sequoiaquay/node';
import { listOptions } from '@sequoiaquay/runtime';
import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

const PAGE = readFileSync(new URL('../docs/CONFIGURATION.md', import.meta.url), 'utf8');

/**
 * Returns the rows (path, type, default) of the table under a heading, with name placeholders replaced by
 * `<name>`.
 */
function parseRows(heading: string): string[] {
  const section = PAGE.split(/^## /m).find((text) => text.startsWith(`${heading}\n`)) ?? '';
  return section
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => {
      const [, path = '', type = '', defaultValue = '', , meaning = ''] = line
        .split('|')
        .map((cell) => cell.trim());
      expect(meaning, `meaning of ${path}`).not.toBe('');
      return `${path.replaceAll('`', '').replaceAll(/<\w+>/g, '<name>')} | ${type} | ${defaultValue.replaceAll('`', '')}`;
    })
    .sort();
}

/** Returns the rows (path, type, default) of the options of a schema. */
function formatRows(schema: ZodType, prefix: string): string[] {
  return listOptions(schema)
    .map(({ default: defaultValue, path, required, type }) => {
      return `${prefix}${path} | ${type} | ${required ? 'required' : (defaultValue ?? 'none')}`;
    })
    .sort();
}

// Guards against options that are missing from the page, or documented with another type or default.
describe('configuration page', () => {
  it.each([
    ['Entry settings', entrySettingsSchema, ''],
    ['Control settings', controlSettingsSchema, ''],
    ['Node settings', nodeSettingsSchema, ''],
    ['Command line settings', cliSettingsSchema, ''],
    ['Settings tree', teamBranchSchema, 'teams.<name>.'],
  ] as const)('lists exactly the options of the schema under "%s"', (heading, schema, prefix) => {
    expect(parseRows(heading)).toEqual(formatRows(schema, prefix));
  });
});
