import * as z from 'zod';
import { taskStateSchema } from '../tasks/task';
import { MAX_TASK_BODY_CHARS, resourcesSchema, TASK_CAUSES, taskSpecShape } from '../tasks/task-spec';
import { nameSchema } from './names';
import { recordBase } from './record-base';

const attempt = z.int().min(1);
const taskId = z.string().min(1).max(200);

/** Accepts a task; the id of the record is the id of the task. */
export const taskRecordSchema = z.object({ ...recordBase, ...taskSpecShape, kind: z.literal('task') });

/** Leases an attempt of a task to a worker until the wall-clock time `until`, in ms. */
export const taskLeaseSchema = z.object({
  ...recordBase,
  attempt,
  demand: resourcesSchema,
  entry: nameSchema,
  kind: z.literal('task-lease'),
  skewMs: z.int().min(0),
  task: taskId,
  until: z.int(),
  worker: nameSchema,
});

/** Renews the lease of the current attempt and stores the worker's report. */
export const taskRenewSchema = z.object({
  ...recordBase,
  attempt,
  checkpoint: z.string().max(MAX_TASK_BODY_CHARS).optional(),
  entry: nameSchema,
  kind: z.literal('task-renew'),
  progress: z.number().min(0).max(1).optional(),
  task: taskId,
  until: z.int(),
  usage: resourcesSchema.optional(),
});

/** Ends a task with the answer of its current attempt. */
export const taskDoneSchema = z.object({
  ...recordBase,
  attempt,
  body: z.string().max(MAX_TASK_BODY_CHARS),
  contentType: z.string().max(200),
  kind: z.literal('task-done'),
  task: taskId,
});

/** Ends the current attempt of a task without an answer. */
export const taskFailedSchema = z.object({
  ...recordBase,
  attempt,
  cause: z.enum(TASK_CAUSES),
  checkpoint: z.string().max(MAX_TASK_BODY_CHARS).optional(),
  kind: z.literal('task-failed'),
  progress: z.number().min(0).max(1).optional(),
  reason: z.string().max(500),
  task: taskId,
});

/** Cancels a task, at any point before its end. */
export const taskCancelSchema = z.object({ ...recordBase, kind: z.literal('task-cancel'), task: taskId });

/** Complete state of a task after all records below offset `asOf`, written so that the task survives trimming. */
export const taskSnapshotSchema = z.object({
  ...recordBase,
  asOf: z.int().min(0),
  kind: z.literal('task-state'),
  state: taskStateSchema,
  task: taskId,
});

/** Record of the `work` stream about a task. */
export type TaskRecord = z.infer<
  | typeof taskCancelSchema
  | typeof taskSnapshotSchema
  | typeof taskDoneSchema
  | typeof taskFailedSchema
  | typeof taskLeaseSchema
  | typeof taskRecordSchema
  | typeof taskRenewSchema
>;

/** Record about a task, of kind `K`. */
export type TaskRecordOf<K extends TaskRecord['kind']> = Extract<TaskRecord, { kind: K }>;
