import { longestLeaseMs } from '@sequoiaquay/core/jobs';
import type { TermStart } from './leadership';

/** Duration of the lease of runs on workers, in ms: longer than another node needs to acquire leadership. */
export const LEASE_MS = 4200;

/**
 * Age of its last stored heartbeat, in ms, from which on a leader no longer extends the leases of runs; most
 * outages of the store are shorter.
 */
export const MAX_HEARTBEAT_AGE_MS = 4500;

/**
 * Returns the monotonic time until which leases of earlier terms may last, in ms. The previous leader may have
 * extended leases until its last heartbeat was too old, or until it released leadership; the leaders before it may
 * still have extended some after that release. `longestLeaseMs` allows for slow clocks of workers.
 */
export function earlierLeasesEndAt(
  { lastHeartbeat, olderTermsExtendUntil }: Pick<TermStart, 'lastHeartbeat' | 'olderTermsExtendUntil'>,
  leaseMs: number,
): number {
  const { at, released } = lastHeartbeat;
  const lastTermExtendsUntil = released ? at : at + MAX_HEARTBEAT_AGE_MS;
  return Math.max(lastTermExtendsUntil, olderTermsExtendUntil) + longestLeaseMs(leaseMs);
}
