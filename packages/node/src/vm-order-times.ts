import type { KeyedRecord } from '@sequoiaquay/core/jobs';

const KEY_PREFIX = 'm.';

/** Allowance for clock differences between nodes, in ms. */
const CLOCK_MARGIN_MS = 500;

/**
 * Records when earlier terms gave orders for VMs: two leaders must not give orders for the same VM within
 * the lease duration.
 */
export class VmOrderTimes {
  readonly #orderedAt = new Map<string, number>();

  /** Returns the record of an order for a VM at a wall clock time, in ms. */
  static encode(vm: string, wallNow: number): KeyedRecord {
    return { key: `${KEY_PREFIX}${vm}`, value: String(wallNow) };
  }

  /** Restores the times from the records of earlier terms; ignores records of other kinds. */
  restore(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key.startsWith(KEY_PREFIX)) {
        this.#orderedAt.set(key.slice(KEY_PREFIX.length), Number(value));
      }
    }
  }

  /** Returns whether an earlier term gave an order for the VM within a time in ms, clock differences included. */
  hasRecentOrder(vm: string, wallNow: number, withinMs: number): boolean {
    const time = this.#orderedAt.get(vm);
    return time !== undefined && Math.abs(wallNow - time) < withinMs + CLOCK_MARGIN_MS;
  }
}
