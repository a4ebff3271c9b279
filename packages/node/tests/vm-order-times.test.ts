import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import { describe, expect, it } from 'vitest';
import { VmOrderTimes } from '../src/vm-order-times';

// Guards against orders of two leaders for the same VM within the lease duration.
describe('OrderTimes', () => {
  it('reports a recent order of an earlier term for its VM only, and only within the given time', () => {
    const times = new VmOrderTimes();
    times.restore([
      { key: 'm.vm-1', value: '1000' },
      { key: 'v.1.vm-2', value: '1' },
    ]);
    expect(times.hasRecentOrder('vm-1', 3000, 3000)).toBe(true);
    expect(times.hasRecentOrder('vm-1', 5000, 3000)).toBe(false);
    expect(times.hasRecentOrder('vm-2', 1000, 3000)).toBe(false);
  });

  it('tells the maintenance orders of earlier terms from moves, with their waves and times', () => {
    const times = new VmOrderTimes();
    times.restore([
      { key: 'm.vm-1', value: '1000 7' },
      { key: 'm.vm-2', value: '2000' },
    ]);
    expect(times.maintenanceOrders).toEqual([{ order: { vm: 'vm-1', wave: 7 }, orderedAt: 1000 }]);
    expect(times.hasRecentOrder('vm-1', 2000, 3000)).toBe(true);
  });
});

/** Returns what a later term restores from the newest records of the orders. */
function restored(records: readonly KeyedRecord[]): VmOrderTimes {
  const times = new VmOrderTimes();
  times.restore([...new Map(records.map((record) => [record.key, record])).values()]);
  return times;
}

// Guards against a maintenance order that the next leader forgets since a later order for the VM replaced its record.
describe('a maintenance order that may still be carried out', () => {
  it('is restored by later terms after an order for another wave and a move of the VM', () => {
    const times = new VmOrderTimes();
    const orders = [
      times.add('vm-1', 1000, 7),
      times.add('vm-2', 1500, 7),
      times.add('vm-1', 3000, 8),
      times.add('vm-1', 5000),
    ];
    const later = restored(orders);
    expect(later.maintenanceOrders).toEqual([
      { order: { vm: 'vm-1', wave: 8 }, orderedAt: 3000 },
      { order: { vm: 'vm-1', wave: 7 }, orderedAt: 1000 },
      { order: { vm: 'vm-2', wave: 7 }, orderedAt: 1500 },
    ]);
    expect(later.hasRecentOrder('vm-1', 8000, 3000)).toBe(true);
    expect(restored([...orders, later.add('vm-1', 9000, 9)]).maintenanceOrders).toHaveLength(4);
  });

  it('is kept once for each wave, with its newest time, and only as long as it may be late', () => {
    const times = new VmOrderTimes();
    const orders = [times.add('vm-1', 1000, 7), times.add('vm-1', 3000, 8), times.add('vm-1', 4000, 7)];
    expect(restored(orders).maintenanceOrders.map(({ order, orderedAt }) => [order.wave, orderedAt])).toEqual(
      [
        [7, 4000],
        [8, 3000],
      ],
    );
    orders.push(times.add('vm-1', 26_000));
    expect(restored(orders).maintenanceOrders.map(({ order }) => order.wave)).toEqual([7]);
    orders.push(times.add('vm-1', 50_000));
    expect(restored(orders).maintenanceOrders).toEqual([]);
  });

  it('of this term does not count as one of an earlier term', () => {
    const times = new VmOrderTimes();
    times.add('vm-1', 1000, 7);
    expect(times.hasRecentOrder('vm-1', 1000, 3000)).toBe(false);
    expect(times.maintenanceOrders).toEqual([]);
  });
});
