import type { PoolSettings } from '../records/settings-schema';

/**
 * Share of a pool's slots that is kept for short work, by objective. A quarter divides the p99 wait of short work
 * by about four and costs 2% of the goodput in a peak; an eighth costs none (docs/MEASUREMENTS.md).
 */
const KEPT_SHARE = { 'head-of-line': 1 / 4, 'roll-out': 1 / 8 } as const;

/** Slots of a pool that are kept for short work: the pool's setting, or a share of its slots. */
export function keptShortSlots(settings: PoolSettings | undefined, slots: number): number {
  return settings?.keptShortSlots ?? Math.round(slots * KEPT_SHARE[settings?.objective ?? 'roll-out']);
}
