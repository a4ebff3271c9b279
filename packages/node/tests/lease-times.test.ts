import { longestLeaseMs } from '@sequoiaquay/core/jobs';
import { describe, expect, it } from 'vitest';
import { earlierLeasesEndAt, LEASE_MS, MAX_HEARTBEAT_AGE_MS } from '../src/lease-times';

function endAfter(released: boolean, olderTermsExtendUntil = -Infinity): number {
  return earlierLeasesEndAt({ lastHeartbeat: { at: 1000, released }, olderTermsExtendUntil }, LEASE_MS);
}

// Guards against a second run of a task while the lease of the first may last.
describe('earlierLeasesEndAt', () => {
  it('covers a lease that was extended just before the release, or until the heartbeat was too old', () => {
    const longest = longestLeaseMs(LEASE_MS);
    expect(longest).toBeGreaterThanOrEqual(LEASE_MS);
    expect(endAfter(true)).toBe(1000 + longest);
    expect(endAfter(false)).toBe(1000 + MAX_HEARTBEAT_AGE_MS + longest);
  });

  it('covers a lease that the leader before the last one extended after the release', () => {
    const longest = longestLeaseMs(LEASE_MS);
    expect(endAfter(true, 3000)).toBe(3000 + longest);
    expect(endAfter(false, 3000)).toBe(1000 + MAX_HEARTBEAT_AGE_MS + longest);
  });
});
