import type { KeyedRecord, MaintenanceOrder } from '@sequoiaquay/core/jobs';
import { LATE_VM_ORDER_WINDOW_MS, ORDER_DECISION_LIMIT_MS } from '@sequoiaquay/core/jobs';

const KEY_PREFIX = 'm.';

/** Order for a VM. */
interface RecordedOrder {
  /** Wall clock time of the order, in ms. */
  orderedAt: number;
  /** Wave of a maintenance order; undefined for a move. */
  wave: number | undefined;
}

/** Allowance for clock differences between nodes, in ms. */
export const CLOCK_MARGIN_MS = 500;

/** Largest difference between the clocks of nodes, of which one may have been set meanwhile, in ms. */
const MAX_CLOCK_DIFFERENCE_MS = 5000;

/**
 * Age of the record of a maintenance order, by the clock of any node, from which on the order is not carried out any
 * more, in ms: it may have been sent some time after it was recorded.
 */
export const LATE_RECORD_WINDOW_MS =
  LATE_VM_ORDER_WINDOW_MS + ORDER_DECISION_LIMIT_MS + MAX_CLOCK_DIFFERENCE_MS;

/**
 * Records when terms gave orders for VMs: two leaders must not give orders for the same VM within the lease duration, and
 * a VM counts as down for a wave while an order for it may still be carried out. The record of a VM has its newest order
 * and the maintenance orders before it that may still be carried out: `TIME[ WAVE]`, then ` TIME WAVE` for each.
 */
export class VmOrderTimes {
  /** Orders of earlier terms for each VM, the newest one first. */
  readonly #earlier = new Map<string, RecordedOrder[]>();
  /** Orders of earlier terms and of this one that were recorded in this term, for each VM, the newest one first. */
  readonly #recorded = new Map<string, RecordedOrder[]>();

  /** Maintenance orders of earlier terms, with their wall clock times in ms. */
  get maintenanceOrders(): { order: MaintenanceOrder; orderedAt: number }[] {
    return [...this.#earlier].flatMap(([vm, orders]) =>
      orders.flatMap(({ orderedAt, wave }) =>
        wave === undefined ? [] : [{ order: { vm, wave }, orderedAt }],
      ),
    );
  }

  /** Restores the orders from the records of earlier terms; ignores records of other kinds. */
  restore(records: readonly KeyedRecord[]): void {
    for (const { key, value = '' } of records) {
      if (key.startsWith(KEY_PREFIX)) {
        this.#earlier.set(key.slice(KEY_PREFIX.length), decode(value));
      }
    }
  }

  /** Adds an order for a VM at a wall clock time, in ms, and returns its record; `wave` only for a maintenance order. */
  add(vm: string, wallNow: number, wave?: number): KeyedRecord {
    const before = this.#recorded.get(vm) ?? this.#earlier.get(vm) ?? [];
    const stillLate = before.filter(
      (order) =>
        order.wave !== undefined && order.wave !== wave && isWithin(order, wallNow, LATE_RECORD_WINDOW_MS),
    );
    const orders = [{ orderedAt: wallNow, wave }, ...stillLate];
    this.#recorded.set(vm, orders);
    const values = orders.flatMap((order) =>
      order.wave === undefined ? [order.orderedAt] : [order.orderedAt, order.wave],
    );
    return { key: `${KEY_PREFIX}${vm}`, value: values.join(' ') };
  }

  /** Returns whether an earlier term gave an order for the VM within a time in ms, clock differences included. */
  hasRecentOrder(vm: string, wallNow: number, withinMs: number): boolean {
    const newest = this.#earlier.get(vm)?.[0];
    return newest !== undefined && isWithin(newest, wallNow, withinMs);
  }
}

// An odd number of values begins with a move, which has no wave.
function decode(value: string): RecordedOrder[] {
  const values = value.split(' ').map(Number);
  const orders: RecordedOrder[] = [];
  if (values.length % 2 === 1) {
    orders.push({ orderedAt: values.shift() ?? NaN, wave: undefined });
  }
  for (let at = 0; at < values.length; at += 2) {
    orders.push({ orderedAt: values[at] ?? NaN, wave: values[at + 1] });
  }
  return orders;
}

function isWithin({ orderedAt }: RecordedOrder, wallNow: number, ms: number): boolean {
  return Math.abs(wallNow - orderedAt) < ms + CLOCK_MARGIN_MS;
}
