import type { PoolSettings } from '../records/settings-schema';

/** Slots of a pool that are kept for short work: the pool's setting, or a share of its slots. */
export function keptShortSlots(settings: PoolSettings | undefined, slots: number): number {
  return settings?.keptShortSlots ?? Math.round(slots * KEPT_SHARE);
}

const KEPT_SHARE = 1 / 8;
