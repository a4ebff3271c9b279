import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { IndexSet } from '../../src/jobs/index-set';

describe('IndexSet', () => {
  it('holds the same indexes as a set', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 40 })), (indexes) => {
        const known = new Set<number>();
        const set = new IndexSet(41);
        for (const index of indexes) {
          expect(set.add(index)).toBe(!known.has(index));
          known.add(index);
        }
        expect([...set]).toEqual([...known].sort((a, b) => a - b));
      }),
    );
  });
});
