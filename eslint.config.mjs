import js from '@eslint/js';
import perfectionist from 'eslint-plugin-perfectionist';
import tseslint from 'typescript-eslint';

const pureOnly = 'The core is pure: pass time, seeds and I/O results in.';

// The object `z` references the whole library, including its locales, so a bundler can't remove the unused
// parts.
const zodSpecifier = "ImportDeclaration[source.value='zod'][importKind!='type'] > ImportSpecifier";

export default tseslint.config(
  { ignores: ['**/target/**', '**/dist/**', '**/node_modules/**'] },
  js.configs.recommended,
  {
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { perfectionist },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      'no-restricted-syntax': [
        'error',
        { message: 'Use a constant object.', selector: 'TSEnumDeclaration' },
        { message: "Use import * as z from 'zod'.", selector: zodSpecifier },
        { message: 'Use named exports.', selector: 'ExportDefaultDeclaration' },
      ],
      'perfectionist/sort-imports': ['error', { newlinesBetween: 'ignore' }],
      'perfectionist/sort-interfaces': 'error',
      'perfectionist/sort-named-imports': 'error',
    },
  },
  {
    files: ['packages/core/src/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        ...['process', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'performance', 'crypto'].map(
          (name) => ({
            message: pureOnly,
            name,
          }),
        ),
      ],
      'no-restricted-imports': ['error', { patterns: [{ group: ['node:*'], message: pureOnly }] }],
      'no-restricted-properties': [
        'error',
        { message: pureOnly, object: 'Date', property: 'now' },
        { message: pureOnly, object: 'Math', property: 'random' },
      ],
    },
  },
  {
    files: ['**/*.mjs', 'vitest.config.ts'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly' } },
    rules: { 'no-restricted-syntax': 'off' },
  },
);
