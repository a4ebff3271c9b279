import { longestLeaseMs } from '@sequoiaquay/core/jobs';
import { describe, expect, it } from 'vitest';
import { earlierLeasesEndAt, LEASE_MS, MAX_HEARTBEAT_AGE_MS } from '../src/lease-times';

// Guards against a second run of a task while the lease of the first may last.
describe('earlierLeasesEndAt', () => {
  it('covers a lease that was extended just before the release, or until the heartbeat was too old', () => {
    const longest = longestLeaseMs(LEASE_MS);
    expect(longest).toBeGreaterThanOrEqual(LEASE_MS);
    expect(earlierLeasesEndAt({ at: 1000, released: true }, LEASE_MS)).toBe(1000 + longest);
    const crashed = earlierLeasesEndAt({ at: 1000, released: false }, LEASE_MS);
    expect(crashed).toBe(1000 + MAX_HEARTBEAT_AGE_MS + longest);
  });
});
