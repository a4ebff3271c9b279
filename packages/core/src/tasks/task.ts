import * as z from 'zod';
import { nameSchema } from '../records/names';
import { resourcesSchema, TASK_CAUSES, taskSpecShape } from './task-spec';

const leaseSchema = z.object({
  demand: resourcesSchema,
  entry: nameSchema,
  /** Wall-clock time of the lease record, in ms. */
  leasedAt: z.int(),
  skewMs: z.int().min(0),
  until: z.int(),
  worker: nameSchema,
});

const endedAttemptSchema = z.object({
  at: z.int(),
  attempt: z.int(),
  cause: z.enum(TASK_CAUSES),
  reason: z.string(),
  worker: nameSchema,
});

/** State of a task as derived from the log; identical on every replica. */
export const taskStateSchema = z.object({
  ...taskSpecShape,
  answer: z.object({ body: z.string(), contentType: z.string() }).optional(),
  at: z.int(),
  /** Number of the current or last attempt; 0 before the first. */
  attempt: z.int().min(0),
  checkpoint: z.string().optional(),
  endedAt: z.int().optional(),
  /** Workers on which the task failed; each counts once towards `maxAttempts`. */
  failedOn: z.array(nameSchema),
  /** Number of failures that count towards the limit, including repeated ones on the same worker. */
  failures: z.int().min(0),
  id: z.string(),
  lease: leaseSchema.optional(),
  progress: z.number(),
  state: z.enum(['cancelled', 'done', 'failed', 'pending', 'running', 'unknown']),
  /** Latest attempts that ended without an answer, oldest first. */
  tries: z.array(endedAttemptSchema),
});

/** Task, as derived from the `work` stream. */
export type Task = z.infer<typeof taskStateSchema>;
/** Lease of the current attempt. */
export type TaskLease = z.infer<typeof leaseSchema>;
/** Attempt that ended without an answer. */
export type EndedAttempt = z.infer<typeof endedAttemptSchema>;

/** Whether a task has ended. */
export function hasEnded(task: Task): boolean {
  return task.endedAt !== undefined;
}
