import { describe, expect, it } from 'vitest';
import { isListReader } from '../../src/membership/list-reader';

const MEMBERS = ['control-2', 'control-0', 'control-1'];

describe('isOnListDuty', () => {
  // Guards against a period in which no member reads the list, which would delay the drain of a leaving VM.
  it('selects exactly one of the members for each period', () => {
    for (let period = 0; period < 12; period += 1) {
      expect(MEMBERS.filter((member) => isListReader(MEMBERS, member, period))).toHaveLength(1);
    }
  });

  it('selects a process that is not a member for every period', () => {
    expect(isListReader(MEMBERS, 'control-9', 5)).toBe(true);
    expect(isListReader([], 'control-0', 5)).toBe(true);
  });
});
