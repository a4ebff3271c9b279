import { defineConfig } from 'vitest/config';

const limits = { hookTimeout: 60_000, testTimeout: 60_000 };

export default defineConfig({
  test: {
    projects: [
      {
        test: {
          ...limits,
          include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
          maxWorkers: 4,
          name: 'unit',
          sequence: { groupOrder: 0 },
        },
      },
      {
        // Each file starts its own processes. More than two files at a time affect each other's timing.
        test: {
          ...limits,
          exclude: ['tests/hostile-*.test.ts'],
          include: ['tests/**/*.test.ts'],
          maxWorkers: 2,
          name: 'integration',
          // Groups with different limits must not run at the same time.
          sequence: { groupOrder: 1 },
        },
      },
      {
        // Loads the machine, so it runs apart from the other files.
        test: {
          ...limits,
          include: ['tests/hostile-*.test.ts'],
          maxWorkers: 1,
          name: 'hostile-clients',
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
