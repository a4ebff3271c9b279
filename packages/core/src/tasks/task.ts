import * as z from 'zod';
import { nameSchema } from '../records/names';
import { resourcesSchema, TASK_CAUSES, taskSpecShape } from './task-spec';

const leaseSchema = z.object({
  demand: resourcesSchema,
  entry: nameSchema,
  /** Wall-clock time of the lease record, ms. */
  leasedAt: z.int(),
  skewMs: z.int().min(0),
  until: z.int(),
  worker: nameSchema,
});

const trySchema = z.object({
  at: z.int(),
  attempt: z.int(),
  cause: z.enum(TASK_CAUSES),
  reason: z.string(),
  worker: nameSchema,
});

/** State of a task in the log's terms; the same on every replica. */
export const taskStateSchema = z.object({
  ...taskSpecShape,
  answer: z.object({ body: z.string(), contentType: z.string() }).optional(),
  at: z.int(),
  /** Number of the current or last attempt; 0 before the first. */
  attempt: z.int().min(0),
  checkpoint: z.string().optional(),
  endedAt: z.int().optional(),
  /** Workers on which the task failed, each counted once towards `maxAttempts`. */
  failedOn: z.array(nameSchema),
  /** Number of failed tries that count, the same worker included. */
  failures: z.int().min(0),
  id: z.string(),
  lease: leaseSchema.optional(),
  progress: z.number(),
  state: z.enum(['cancelled', 'done', 'failed', 'pending', 'running', 'unknown']),
  /** Latest tries, oldest first. */
  tries: z.array(trySchema),
});

/** A task as every replica of the `work` stream sees it. */
export type Task = z.infer<typeof taskStateSchema>;
/** Lease of the current attempt. */
export type TaskLease = z.infer<typeof leaseSchema>;
/** One try of a task that ended without an answer. */
export type TaskTry = z.infer<typeof trySchema>;

/** Whether a task has reached one of its ends. */
export function hasEnded(task: Task): boolean {
  return task.endedAt !== undefined;
}
