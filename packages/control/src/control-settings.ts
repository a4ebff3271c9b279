import { nameSchema } from '@sequoiaquay/core';
import { addressSchema } from '@sequoiaquay/runtime';
import * as z from 'zod';

/** Schema of the settings of a control process. Times are in milliseconds. */
export const controlSettingsSchema = z.strictObject({
  listen: addressSchema,
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  name: nameSchema,
  /** Addresses of other control processes, which serve the fleet state when the log is down. */
  peers: z.array(addressSchema).default([]),
  platform: z.strictObject({
    addresses: z.array(z.url()).min(1),
    timeoutMs: z.int().min(100).default(6000),
  }),
  /** Time for which the log retains records. */
  retentionMs: z.int().min(1000).default(86_400_000),
  /** Number of records that the log retains in the `fleet` stream. */
  retentionRecords: z.int().min(8).default(100_000),
  secretFile: z.string().min(1),
  /** SHA-256 of each team's bearer token in hexadecimal, by team name. */
  teamTokens: z
    .record(
      nameSchema,
      z
        .string()
        .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
        .describe('SHA-256 in hexadecimal'),
    )
    .default({}),
  vm: nameSchema,
  vmListPollMs: z.int().min(50).default(1000),
  zone: z.string().min(1),
});

/** Settings of a control process. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
