import * as z from 'zod';

/** Fields that all log records have in common. */
export const recordBase = {
  at: z.int().min(0),
  by: z.string().min(1).max(200),
  id: z.string().min(1).max(200),
  v: z.literal(1),
};
