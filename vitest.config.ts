import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    hookTimeout: 60_000,
    include: ['packages/*/tests/**/*.test.ts', 'tests/**/*.test.ts'],
    maxWorkers: 4,
    testTimeout: 60_000,
  },
});
