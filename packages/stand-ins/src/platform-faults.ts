import * as z from 'zod';

/** Schema of the faults that the platform stand-in injects. */
export const platformFaultsSchema = z.object({
  /** Refuses every call with 503. */
  down: z.boolean().default(false),
  /** Share of the appends that are stored but answered with 504, from 0 to 1. */
  loseAppendAnswers: z.number().min(0).max(1).default(0),
  /** Delay added to every call, in ms. */
  slowMs: z.number().min(0).default(0),
});

/** Faults that the platform stand-in injects. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
