import * as z from 'zod';
import { nameSchema } from './names';
import { recordBase } from './record-base';
import {
  taskCancelSchema,
  taskDoneSchema,
  taskFailedSchema,
  taskLeaseSchema,
  taskRecordSchema,
  taskRenewSchema,
  taskSnapshotSchema,
} from './task-record';

/** Outcome of a request, as reported to its caller. */
export const OUTCOME = { answered: 'answered', notRun: 'not-run', unknown: 'unknown' } as const;
/** Outcome of a request. */
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** Maximum length of an idempotency key, in characters. */
export const MAX_KEY_LENGTH_CHARS = 200;

const workRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...recordBase,
    deadlineAt: z.int(),
    digest: z.string().max(128),
    entry: nameSchema,
    incarnation: z.int().min(0),
    key: z.string().min(1).max(MAX_KEY_LENGTH_CHARS),
    kind: z.literal('claim'),
    scope: z.string().max(200),
  }),
  z.object({
    ...recordBase,
    body: z.string().optional(),
    /** Length of the complete body, in bytes. If it is above 0 and `body` is missing, only the holder has it. */
    bodyBytes: z.int().min(0).optional(),
    bodyEncoding: z.enum(['base64', 'utf8']).optional(),
    claim: z.string(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])).optional(),
    key: z.string().min(1).max(MAX_KEY_LENGTH_CHARS),
    kind: z.literal('outcome'),
    outcome: z.enum(['answered', 'not-run', 'unknown']),
    scope: z.string().max(200),
    status: z.int().min(100).max(999).optional(),
  }),
  taskCancelSchema,
  taskSnapshotSchema,
  taskDoneSchema,
  taskFailedSchema,
  taskLeaseSchema,
  taskRecordSchema,
  taskRenewSchema,
]);

/** Record of the `work` stream. */
export type WorkRecord = z.infer<typeof workRecordSchema>;

/** Record of the `work` stream of kind `K`. */
export type WorkRecordOf<K extends WorkRecord['kind']> = Extract<WorkRecord, { kind: K }>;

export { workRecordSchema };
