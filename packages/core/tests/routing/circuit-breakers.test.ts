import { describe, expect, it } from 'vitest';
import { CircuitBreakers } from '../../src/index';

const TARGETS = ['a', 'b', 'c'].map((vm) => ({ slots: 8, vm }));

function openBreaker(breakers: CircuitBreakers, vm: string, now: number): void {
  for (let index = 0; index < 3; index += 1) {
    breakers.record(vm, false, now);
  }
}

function createBreakers(): CircuitBreakers {
  return new CircuitBreakers({ cooldownMs: 1000, failureLimit: 3 });
}

describe('CircuitBreakers', () => {
  it('opens only after consecutive failures', () => {
    const breakers = createBreakers();
    for (const succeeded of [false, false, true, false, false]) {
      breakers.record('a', succeeded, 0);
    }
    expect(breakers.usableTargets(TARGETS, 0, 0)).toHaveLength(3);
    breakers.record('a', false, 0);
    expect(breakers.usableTargets(TARGETS, 0, 0).map(({ vm }) => vm)).toEqual(['b', 'c']);
  });

  it('allows one probe after the cooldown, then closes or opens again', () => {
    const breakers = createBreakers();
    openBreaker(breakers, 'a', 0);
    expect(breakers.usableTargets(TARGETS, 0, 1000)[0]).toEqual({ slots: 1, vm: 'a' });
    breakers.record('a', false, 1100);
    expect(breakers.usableTargets(TARGETS, 0, 2000)).toHaveLength(2);
    breakers.usableTargets(TARGETS, 0, 2100);
    breakers.record('a', true, 2200);
    expect(breakers.usableTargets(TARGETS, 0, 2200)[0]).toEqual({ slots: 8, vm: 'a' });
  });

  // Guards against breakers that reduce a pool below its availability budget.
  it('keeps the budgeted number of targets in use, starting with those that opened first', () => {
    const breakers = createBreakers();
    for (const [index, { vm }] of TARGETS.entries()) {
      openBreaker(breakers, vm, index);
    }
    expect(breakers.usableTargets(TARGETS, 2, 10).map(({ vm }) => vm)).toEqual(['a', 'b']);
  });
});
