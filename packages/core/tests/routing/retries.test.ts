import { describe, expect, it } from 'vitest';
import { backoffMs, RetryBudget } from '../../src/index';

function consumeAll(budget: RetryBudget, now: number): number {
  let consumed = 0;
  while (budget.tryConsume(now)) {
    consumed += 1;
  }
  return consumed;
}

describe('RetryBudget', () => {
  it('allows one retry per second without successes', () => {
    const budget = new RetryBudget();
    expect([0, 500, 1000, 9000].map((now) => consumeAll(budget, now))).toEqual([1, 0, 1, 1]);
  });

  // Guards against retries that multiply the load on a failing pool.
  it('allows retries for a tenth of recent successes, up to a limit', () => {
    const budget = new RetryBudget();
    for (let index = 0; index < 55; index += 1) {
      budget.recordSuccess();
    }
    expect(consumeAll(budget, 0)).toBe(6);
    for (let index = 0; index < 10_000; index += 1) {
      budget.recordSuccess();
    }
    expect(consumeAll(budget, 0)).toBe(20);
  });
});

describe('backoffMs', () => {
  it('returns the same delay for the same seed, different delays for other seeds, all within the limits', () => {
    expect(backoffMs(1, 'a')).toBe(backoffMs(1, 'a'));
    expect(new Set(['a', 'b', 'c', 'd'].map((seed) => backoffMs(3, seed))).size).toBe(4);
    for (let retry = 0; retry < 12; retry += 1) {
      expect(backoffMs(retry, 'a')).toBeLessThanOrEqual(Math.min(1000, 20 * 2 ** retry));
    }
  });
});
