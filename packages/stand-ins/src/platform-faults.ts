import * as z from 'zod';

/** Faults that the platform stand-in can be told to show. */
export const platformFaultsSchema = z.object({
  /** Every call is refused. */
  down: z.boolean().default(false),
  /** Share of appends that take effect but whose answer is lost, from 0 to 1. */
  loseAppendAnswers: z.number().min(0).max(1).default(0),
  /** Delay added to every call, in ms. */
  slowMs: z.number().min(0).default(0),
});

/** Faults of the platform stand-in. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
