import { describe, expect, it } from 'vitest';
import { memberShare } from '../../src/index';

function createTargets(count: number, slots: number): { slots: number; vm: string }[] {
  return Array.from({ length: count }, (_, index) => ({ slots, vm: `vm-${index}` }));
}

describe('memberShare', () => {
  // Guards against members that in total use more slots than a target has.
  it.each([
    [8, 8, 8],
    [7, 8, 3],
    [40, 8, 5],
  ])('divides %i targets of %i slots among %i members', (count, slots, members) => {
    const used = new Map<string, number>();
    for (let index = 0; index < members; index += 1) {
      for (const share of memberShare(createTargets(count, slots), index, members)) {
        used.set(share.vm, (used.get(share.vm) ?? 0) + share.slots);
      }
    }
    expect(Math.max(...used.values())).toBeLessThanOrEqual(slots);
    expect(used.size).toBe(count);
  });

  it('gives each member a slot when targets have fewer slots than there are members', () => {
    for (let index = 0; index < 8; index += 1) {
      expect(memberShare(createTargets(3, 2), index, 8)).toMatchObject([{ slots: 1 }]);
      expect(memberShare(createTargets(10, 2), index, 8)).toHaveLength(2);
    }
  });
});
