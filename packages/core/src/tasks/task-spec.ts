import * as z from 'zod';
import { nameSchema } from '../records/names';

/** Maximum length of the body, answer and checkpoint of a task, in characters; log records contain each of them. */
export const MAX_TASK_BODY_CHARS = 65_536;

/** Processors, memory in MB and accelerators: the capacity of a worker or the demand of a task. */
export const resourcesSchema = z.object({
  accelerators: z.number().min(0).max(10_000).default(0),
  memoryMb: z.number().min(0).max(100_000_000).default(1024),
  processors: z.number().min(0).max(100_000).default(1),
});
/** Processors, memory in MB and accelerators. */
export type Resources = z.infer<typeof resourcesSchema>;

/** Cause of an attempt that ended without an answer. */
export const TASK_CAUSE = {
  /** The worker ran the task and reported a failure. */
  job: 'job',
  /** The lease expired and the worker does not answer. */
  lapsed: 'lapsed',
  /** The worker checkpointed and stopped the task so that it can continue on another worker. */
  moved: 'moved',
  /** The worker had no free capacity; the attempt did not run. */
  noCapacity: 'no-room',
  /** The worker confirmed that the attempt has not started and never will. */
  notStarted: 'not-started',
  /** The worker stopped the task, because the lease expired on the worker or the worker restarted. */
  stopped: 'stopped',
} as const;
/** Cause of an attempt that ended without an answer. */
export type TaskCause = (typeof TASK_CAUSE)[keyof typeof TASK_CAUSE];
/** All values of `TASK_CAUSE`, for schemas. */
export const TASK_CAUSES = ['job', 'lapsed', 'moved', 'no-room', 'not-started', 'stopped'] as const;

/** Fields of a task that never change after it is accepted. */
export const taskSpecShape = {
  body: z.string().max(MAX_TASK_BODY_CHARS),
  contentType: z.string().max(200),
  demand: resourcesSchema,
  digest: z.string().max(128),
  job: nameSchema,
  key: z.string().min(1).max(200).optional(),
  /** Number of different workers on which the task may fail before it ends as failed. */
  maxAttempts: z.int().min(1).max(100),
  pool: nameSchema,
  repeatable: z.boolean(),
  scope: z.string().max(200),
  urgent: z.boolean(),
};
