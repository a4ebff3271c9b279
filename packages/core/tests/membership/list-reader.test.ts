import { describe, expect, it } from 'vitest';
import { isListReader } from '../../src/membership/list-reader';

const MEMBERS = ['control-2', 'control-0', 'control-1'];

describe('isOnListDuty', () => {
  // Guards against a period without a reader, which would delay the notice of a leaving VM.
  it('gives each period exactly one reader among the members', () => {
    for (let period = 0; period < 12; period += 1) {
      expect(MEMBERS.filter((member) => isListReader(MEMBERS, member, period))).toHaveLength(1);
    }
  });

  it('lets a process that is not a member read in every period', () => {
    expect(isListReader(MEMBERS, 'control-9', 5)).toBe(true);
    expect(isListReader([], 'control-0', 5)).toBe(true);
  });
});
