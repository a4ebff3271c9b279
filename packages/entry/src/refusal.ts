import type { Outcome } from '@sequoiaquay/core';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Maybe } from 'true-myth';

/** HTTP status for each refusal reason. */
export const REFUSAL_STATUS = {
  'answer-not-kept': 409,
  'bad-request': 400,
  'claim-unavailable': 503,
  'deadline-unreachable': 503,
  'entry-not-ready': 503,
  'entry-overloaded': 503,
  'holder-gone': 409,
  'key-expired': 409,
  'key-in-use': 409,
  'key-mismatch': 422,
  'key-required': 400,
  'no-target': 503,
  'queue-full': 503,
  quota: 429,
  'request-too-large': 413,
  'task-unavailable': 503,
  'task-unconfirmed': 504,
  'target-failed': 502,
  'target-timeout': 504,
  'target-unreachable': 503,
  'unknown-job': 404,
  'unknown-pool': 404,
  'unknown-task': 404,
  stopping: 503,
} as const satisfies Record<string, ContentfulStatusCode>;

/** Reason of a refusal. */
export type CallerRefusalReason = keyof typeof REFUSAL_STATUS;

/** Refusal sent to a caller in place of an answer of a target. */
export interface CallerRefusal {
  detail: string;
  outcome: Exclude<Outcome, 'answered'>;
  reason: CallerRefusalReason;
  /** Time after which the caller may retry, in seconds. */
  retryAfterS: Maybe<number>;
}
