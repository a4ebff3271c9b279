import { nameSchema } from '@sequoiaquay/core';
import { addressSchema } from '@sequoiaquay/runtime';
import * as z from 'zod';
import { taskSettingsSchema } from './tasks/task-settings';

/** Settings of an entry process. Times in milliseconds, sizes in bytes. */
export const entrySettingsSchema = z.strictObject({
  /** Maximum size of an answer that is buffered completely. */
  bufferLimitBytes: z.int().min(1024).default(1_048_576),
  /** Addresses of the control processes that provide the fleet state, the one on this VM first. */
  controls: z.array(addressSchema).min(1),
  /** Retention of idempotency keys. */
  keyWindowMs: z.int().min(1000).default(3_600_000),
  listen: addressSchema,
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** Maximum total size of the request bodies held; further requests are refused. */
  maxHeldBytes: z.int().min(1024).default(134_217_728),
  maxRequestBytes: z.int().min(1024).default(1_048_576),
  name: nameSchema,
  /** Address at which other entries reach `peerListen`, if it differs. */
  peerAdvertise: addressSchema.optional(),
  peerListen: addressSchema,
  platform: z.strictObject({
    addresses: z.array(z.url()).min(1),
    timeoutMs: z.int().min(100).default(6000),
  }),
  secretFile: z.string().min(1),
  /** Time after the stop signal for which new requests are still accepted and refused, in ms. */
  stopGraceMs: z.int().min(0).default(1000),
  tasks: taskSettingsSchema.prefault({}),
  vm: nameSchema,
  /** Interval at which the platform's VM list and the peers are polled for leaving VMs. */
  vmListPollMs: z.int().min(50).max(1000).default(500),
  zone: z.string().min(1),
});

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
