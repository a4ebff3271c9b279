import * as z from 'zod';
import { nameSchema } from './names';
import { recordBase } from './record-base';
import {
  taskCancelSchema,
  taskCarrySchema,
  taskDoneSchema,
  taskFailedSchema,
  taskLeaseSchema,
  taskRecordSchema,
  taskRenewSchema,
} from './task-record';

/** What a caller is told about its request. */
export const OUTCOME = { answered: 'answered', notRun: 'not-run', unknown: 'unknown' } as const;
/** Outcome of a request. */
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 200;

const workRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...recordBase,
    deadlineAt: z.int(),
    digest: z.string().max(128),
    entry: nameSchema,
    incarnation: z.int().min(0),
    key: z.string().min(1).max(MAX_KEY_LENGTH),
    kind: z.literal('claim'),
    scope: z.string().max(200),
  }),
  z.object({
    ...recordBase,
    body: z.string().optional(),
    /** Length of the whole body in bytes; a record without `body` and above 0 leaves the body with the holder. */
    bodyBytes: z.int().min(0).optional(),
    bodyEncoding: z.enum(['base64', 'utf8']).optional(),
    claim: z.string(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])).optional(),
    key: z.string().min(1).max(MAX_KEY_LENGTH),
    kind: z.literal('outcome'),
    outcome: z.enum(['answered', 'not-run', 'unknown']),
    scope: z.string().max(200),
    status: z.int().min(100).max(999).optional(),
  }),
  taskCancelSchema,
  taskCarrySchema,
  taskDoneSchema,
  taskFailedSchema,
  taskLeaseSchema,
  taskRecordSchema,
  taskRenewSchema,
]);

/** Record of the `work` stream. */
export type WorkRecord = z.infer<typeof workRecordSchema>;

/** Record of the `work` stream of one kind. */
export type WorkRecordOf<K extends WorkRecord['kind']> = Extract<WorkRecord, { kind: K }>;

export { workRecordSchema };
