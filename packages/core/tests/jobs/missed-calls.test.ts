import { describe, expect, it } from 'vitest';
import { MissedCalls } from '../../src/jobs/missed-calls';

describe('MissedCalls', () => {
  it.each([
    [20, 1, false],
    [20, 2, true],
    [700, 34, false],
    [700, 35, true],
  ])('tells whether many of %i workers have stopped answering: %i', (workers, missed, expected) => {
    const calls = new MissedCalls();
    for (let index = 0; index < missed; index += 1) {
      calls.record(1000 + index);
    }
    expect(calls.areWidespread(workers, 1100)).toBe(expected);
  });

  it('forgets them after a while', () => {
    const calls = new MissedCalls();
    calls.record(1000);
    calls.record(2000);
    expect(calls.areWidespread(2, 2499)).toBe(true);
    expect(calls.areWidespread(2, 2501)).toBe(false);
    expect(calls.areWidespread(2, 10_000)).toBe(false);
  });
});
