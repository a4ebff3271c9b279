import { describe, expect, it } from 'vitest';
import { SubmissionBudget } from '../src/submission-budget';

const MAX_BYTES = 1_000_000;
const ORDINARY_BYTES = 17_000;
const LARGE_BYTES = 100_000;

// Guards against jobs that outgrow the process while they are stored, and against a crowd of large ones that leaves
// ordinary ones no room.
describe('SubmissionBudget', () => {
  it('has room for ordinary jobs beside as many large ones as it takes', () => {
    const budget = new SubmissionBudget(MAX_BYTES);
    const taken = Array.from({ length: 20 }, () => budget.take(LARGE_BYTES));
    expect(taken.filter(Boolean)).toHaveLength(7);
    expect(budget.take(ORDINARY_BYTES)).toBe(true);
  });

  it('never holds more than its bytes, and takes further jobs once others are stored', () => {
    const budget = new SubmissionBudget(MAX_BYTES);
    while (budget.take(ORDINARY_BYTES));
    expect(budget.heldBytes).toBeLessThanOrEqual(MAX_BYTES);
    budget.release(ORDINARY_BYTES);
    expect(budget.take(ORDINARY_BYTES)).toBe(true);
  });

  it('takes a job of any size while no other is stored', () => {
    const budget = new SubmissionBudget(MAX_BYTES);
    expect(budget.take(3 * MAX_BYTES)).toBe(true);
    expect(budget.take(ORDINARY_BYTES)).toBe(false);
    budget.release(3 * MAX_BYTES);
    expect(budget.heldBytes).toBe(0);
  });
});
