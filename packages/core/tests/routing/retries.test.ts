import { describe, expect, it } from 'vitest';
import { backoffMs, RetryBudget } from '../../src/index';

function takeAll(budget: RetryBudget, now: number): number {
  let taken = 0;
  while (budget.take(now)) {
    taken += 1;
  }
  return taken;
}

describe('retry budget', () => {
  it('allows one retry a second without successes', () => {
    const budget = new RetryBudget();
    expect([0, 500, 1000, 9000].map((now) => takeAll(budget, now))).toEqual([1, 0, 1, 1]);
  });

  // Guards against retries that multiply the load of a pool that fails.
  it('allows a tenth of recent successes, up to a bound', () => {
    const budget = new RetryBudget();
    for (let index = 0; index < 55; index += 1) {
      budget.succeeded();
    }
    expect(takeAll(budget, 0)).toBe(6);
    for (let index = 0; index < 10_000; index += 1) {
      budget.succeeded();
    }
    expect(takeAll(budget, 0)).toBe(20);
  });
});

describe('back-off', () => {
  it('is the same for the same seed, differs between seeds, and stays in its bounds', () => {
    expect(backoffMs(1, 'a')).toBe(backoffMs(1, 'a'));
    expect(new Set(['a', 'b', 'c', 'd'].map((seed) => backoffMs(3, seed))).size).toBe(4);
    for (let retry = 0; retry < 12; retry += 1) {
      expect(backoffMs(retry, 'a')).toBeLessThanOrEqual(Math.min(1000, 20 * 2 ** retry));
    }
  });
});
