import * as z from 'zod';

const MAX_NAME_LENGTH_CHARS = 256;
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH_CHARS);
const durationMsSchema = z.number().min(0);
const MAX_GRANTS = 10_000;
const MAX_POLL_WAIT_MS = 5000;

/** Request of a member for a slot; repeated with the same id until granted or refused. Times in ms. */
export const acquireSchema = z.object({
  bytes: z.int().min(0),
  excluded: z.array(nameSchema).max(MAX_GRANTS),
  id: nameSchema,
  job: nameSchema,
  /** Time left until the request must have started. */
  leftMs: durationMsSchema,
  member: nameSchema,
  pool: nameSchema,
  team: nameSchema,
  urgent: z.boolean(),
  waitMs: durationMsSchema.max(MAX_POLL_WAIT_MS),
});

/** Release of a grant or cancellation of a waiting request; `runMs` is present if a target was called. */
export const releaseSchema = z.object({
  id: nameSchema,
  ok: z.boolean().optional(),
  pool: nameSchema,
  runMs: durationMsSchema.optional(),
});

/** Lease renewal of the grants that a member still uses. */
export const renewSchema = z.object({ ids: z.array(nameSchema).max(MAX_GRANTS), pool: nameSchema });

/** Grants in use of a member, reported to an owner that doesn't have them. */
export const reportSchema = z.object({
  grants: z
    .array(
      z.object({
        id: nameSchema,
        job: nameSchema,
        ranMs: durationMsSchema,
        team: nameSchema,
        vm: nameSchema,
      }),
    )
    .max(MAX_GRANTS),
  member: nameSchema,
  pool: nameSchema,
});

/** Request of a member for a slot. */
export type AcquireMessage = z.infer<typeof acquireSchema>;
/** Release of a grant or cancellation of a waiting request. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;
/** Lease renewal of the grants that a member still uses. */
export type RenewMessage = z.infer<typeof renewSchema>;
/** Grants in use of a member. */
export type ReportMessage = z.infer<typeof reportSchema>;

/** Answer of an owner to a request for a slot. Times in ms. */
export type AcquireAnswer =
  | { address: string; kind: 'granted'; leaseMs: number; vm: string }
  | { detail: string; kind: 'refused'; reason: QueueRefusalKind; waitMs: number }
  | { kind: 'not-owner' | 'waiting' };

/** Reason why an owner refuses a request. */
export type QueueRefusalKind = 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota';
