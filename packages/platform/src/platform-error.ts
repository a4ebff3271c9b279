import type { Maybe } from 'true-myth';

/** Kinds of failure of the platform's services. */
export const PLATFORM_FAILURE = {
  /** The request may have taken effect. */
  lost: 'lost',
  /** The service answered that it did not take the request. */
  refused: 'refused',
  /** The read starts below the oldest retained offset. */
  trimmed: 'trimmed',
  /** The service took longer than the caller's limit; it may have taken effect. */
  timeout: 'timeout',
} as const;

/** Kind of failure. */
export type PlatformFailure = (typeof PLATFORM_FAILURE)[keyof typeof PLATFORM_FAILURE];

/** Error of the platform client. */
export interface PlatformError {
  /** Error of the HTTP layer, when there is one. */
  cause: Maybe<Error>;
  kind: PlatformFailure;
  message: string;
  /** Oldest retained offset, for `trimmed`. */
  oldest: Maybe<number>;
  /** HTTP status, when the service answered. */
  status: Maybe<number>;
}
