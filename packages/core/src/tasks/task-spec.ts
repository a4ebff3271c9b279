import * as z from 'zod';
import { nameSchema } from '../records/names';

/** Largest body, answer and checkpoint of a task, in characters: each is carried by log records. */
export const MAX_TASK_BODY = 65_536;

/** Processors, memory in MB and accelerators, of a worker or of a task's demand. */
export const resourcesSchema = z.object({
  accelerators: z.number().min(0).max(10_000).default(0),
  memoryMb: z.number().min(0).max(100_000_000).default(1024),
  processors: z.number().min(0).max(100_000).default(1),
});
/** Processors, memory in MB and accelerators. */
export type Resources = z.infer<typeof resourcesSchema>;

/** Why an attempt ended without an answer. */
export const TASK_CAUSE = {
  /** The worker ran the task and reports that it failed. */
  job: 'job',
  /** The lease lapsed and the worker does not answer. */
  lapsed: 'lapsed',
  /** The worker checkpointed and stopped the task so that it continues elsewhere. */
  moved: 'moved',
  /** The worker had no room; nothing ran. */
  noRoom: 'no-room',
  /** The worker confirms that the attempt never started and never will. */
  notStarted: 'not-started',
  /** The worker stopped the task, because its lease there lapsed or the worker restarted. */
  stopped: 'stopped',
} as const;
/** Why an attempt ended without an answer. */
export type TaskCause = (typeof TASK_CAUSE)[keyof typeof TASK_CAUSE];
/** All causes, for schemas. */
export const TASK_CAUSES = ['job', 'lapsed', 'moved', 'no-room', 'not-started', 'stopped'] as const;

/** Fields of a task that stay as accepted. */
export const taskSpecShape = {
  body: z.string().max(MAX_TASK_BODY),
  contentType: z.string().max(200),
  demand: resourcesSchema,
  digest: z.string().max(128),
  job: nameSchema,
  key: z.string().min(1).max(200).optional(),
  /** Number of different workers on which the task may fail before it ends. */
  maxAttempts: z.int().min(1).max(100),
  pool: nameSchema,
  repeatable: z.boolean(),
  scope: z.string().max(200),
  urgent: z.boolean(),
};
