import type { Maybe } from 'true-myth';

/** Kinds of failure of a call to a service of the platform. */
export const PLATFORM_FAILURE = {
  /** The outcome is unknown: the request may have taken effect. */
  lost: 'lost',
  /** The request did not take effect: the service refused it, or no connection was established. */
  refused: 'refused',
  /** The requested offset is below the oldest retained one. */
  trimmed: 'trimmed',
  /** No response arrived within the caller's time limit; the request may have taken effect. */
  timeout: 'timeout',
} as const;

/** Kind of failure of a call to a service of the platform. */
export type PlatformFailure = (typeof PLATFORM_FAILURE)[keyof typeof PLATFORM_FAILURE];

/** Error of the platform client. */
export interface PlatformError {
  /** Error of the HTTP layer, if any. */
  cause: Maybe<Error>;
  kind: PlatformFailure;
  message: string;
  /** Oldest retained offset, for `trimmed`. */
  oldest: Maybe<number>;
  /** HTTP status, if the service responded. */
  status: Maybe<number>;
}
