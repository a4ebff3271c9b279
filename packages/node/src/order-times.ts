import type { KeyedRecord } from '@sequoiaquay/core/jobs';

const PREFIX = 'm.';

/** Added for clocks that differ between VMs, in ms. */
const CLOCK_MARGIN_MS = 500;

/** Times at which earlier terms gave orders for VMs: two holders must not take turns at once. */
export class OrderTimes {
  readonly #times = new Map<string, number>();

  /** Record of an order for a VM at a wall clock time, in ms. */
  static record(vm: string, wallNow: number): KeyedRecord {
    return { key: `${PREFIX}${vm}`, value: String(wallNow) };
  }

  /** Takes the records of earlier terms; those of other kinds are passed over. */
  restore(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key.startsWith(PREFIX)) {
        this.#times.set(key.slice(PREFIX.length), Number(value));
      }
    }
  }

  /** Whether an earlier term gave an order for the VM within a time in ms. */
  isHeld(vm: string, wallNow: number, withinMs: number): boolean {
    const time = this.#times.get(vm);
    return time !== undefined && Math.abs(wallNow - time) < withinMs + CLOCK_MARGIN_MS;
  }
}
