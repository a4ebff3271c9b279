import { describe, expect, it } from 'vitest';
import { OrderTimes } from '../src/order-times';

describe('OrderTimes', () => {
  it('holds a VM that an earlier term gave an order for a moment ago, and no other', () => {
    const times = new OrderTimes();
    times.restore([OrderTimes.record('vm-1', 1000), { key: 'v.1.vm-2', value: '1' }]);
    expect(times.isHeld('vm-1', 3000, 3000)).toBe(true);
    expect(times.isHeld('vm-1', 5000, 3000)).toBe(false);
    expect(times.isHeld('vm-2', 1000, 3000)).toBe(false);
  });
});
