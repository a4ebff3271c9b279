import * as z from 'zod';
import { resourcesSchema } from '../tasks/task-spec';
import { nameSchema } from './names';

/** Settings of one job of a pool. Times in ms. */
export const jobSettingsSchema = z.strictObject({
  repeatable: z.boolean(),
  /** Declared resource demand of one task of the job. */
  task: resourcesSchema.optional(),
  timeoutMs: z.int().min(1).max(86_400_000),
  urgent: z.boolean().default(false),
});

/** Settings of one pool. */
export const poolSettingsSchema = z.strictObject({
  jobs: z.record(nameSchema, jobSettingsSchema),
  keptShortSlots: z.int().min(0).optional(),
  minServing: z.int().min(0),
  /** What the pool's capacity is optimised for: short waits of short work (`head-of-line`), or quick roll-outs. */
  objective: z.enum(['head-of-line', 'roll-out']).optional(),
});

/** Branch of one team in the settings tree. */
export const teamBranchSchema = z.strictObject({
  pools: z.record(nameSchema, poolSettingsSchema),
  quota: z
    .strictObject({
      inFlight: z.int().min(1),
      queued: z.int().min(0),
    })
    .optional(),
  weight: z.number().positive().max(1000).default(1),
});

/** Settings of one job. */
export type JobSettings = z.infer<typeof jobSettingsSchema>;
/** Settings of one pool. */
export type PoolSettings = z.infer<typeof poolSettingsSchema>;
/** Settings of one team. */
export type TeamBranch = z.infer<typeof teamBranchSchema>;
