import * as z from 'zod';

const MAX_NAME = 256;
const name = z.string().min(1).max(MAX_NAME);
const ms = z.number().min(0);
const MAX_GRANTS = 10_000;
const MAX_POLL_MS = 5000;

/** Wish of a member for a slot; repeated with the same id until it is granted or refused. Times in ms. */
export const acquireSchema = z.object({
  bytes: z.int().min(0),
  excluded: z.array(name).max(MAX_GRANTS),
  id: name,
  job: name,
  /** Time left until the request must have started. */
  leftMs: ms,
  member: name,
  pool: name,
  team: name,
  urgent: z.boolean(),
  waitMs: ms.max(MAX_POLL_MS),
});

/** End of a grant or of the wait for one; `runMs` is present when a target answered. */
export const releaseSchema = z.object({
  id: name,
  ok: z.boolean().optional(),
  pool: name,
  runMs: ms.optional(),
});

/** Grants that a member still uses. */
export const renewSchema = z.object({ ids: z.array(name).max(MAX_GRANTS), pool: name });

/** Grants in use of a member, for an owner that doesn't know them. */
export const reportSchema = z.object({
  grants: z.array(z.object({ id: name, job: name, ranMs: ms, team: name, vm: name })).max(MAX_GRANTS),
  member: name,
  pool: name,
});

/** Wish of a member for a slot. */
export type AcquireMessage = z.infer<typeof acquireSchema>;
/** End of a grant or of the wait for one. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;
/** Grants that a member still uses. */
export type RenewMessage = z.infer<typeof renewSchema>;
/** Grants in use of a member. */
export type ReportMessage = z.infer<typeof reportSchema>;

/** Answer of an owner to a wish for a slot. Times in ms. */
export type AcquireAnswer =
  | { address: string; kind: 'granted'; leaseMs: number; vm: string }
  | { detail: string; kind: 'refused'; reason: QueueRefusalKind; waitMs: number }
  | { kind: 'not-owner' | 'waiting' };

/** Reasons for which an owner refuses. */
export type QueueRefusalKind = 'deadline-unreachable' | 'no-target' | 'queue-full' | 'quota';
