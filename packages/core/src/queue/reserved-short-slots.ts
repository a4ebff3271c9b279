import type { PoolSettings } from '../records/settings-schema';

/**
 * Share of a pool's slots that is reserved for short work, by the pool's objective. Reserving 1/4 of the slots
 * reduces the p99 wait of short work to about a quarter and costs 2% of the goodput in a peak; 1/8 costs none
 * (docs/MEASUREMENTS.md).
 */
const RESERVED_SHARE = { 'head-of-line': 1 / 4, 'roll-out': 1 / 8 } as const;

/** Number of a pool's slots that are reserved for short work: the pool's setting, or a share of its slots. */
export function reservedShortSlots(settings: PoolSettings | undefined, slots: number): number {
  return settings?.keptShortSlots ?? Math.round(slots * RESERVED_SHARE[settings?.objective ?? 'roll-out']);
}
