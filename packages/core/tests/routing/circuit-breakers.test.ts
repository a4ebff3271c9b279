import { describe, expect, it } from 'vitest';
import { CircuitBreakers } from '../../src/index';

const TARGETS = ['a', 'b', 'c'].map((vm) => ({ slots: 8, vm }));

function fail(breakers: CircuitBreakers, vm: string, now: number): void {
  for (let index = 0; index < 3; index += 1) {
    breakers.record(vm, false, now);
  }
}

function create(): CircuitBreakers {
  return new CircuitBreakers({ coolMs: 1000, failureLimit: 3 });
}

describe('circuit breakers', () => {
  it('opens after consecutive failures only', () => {
    const breakers = create();
    for (const succeeded of [false, false, true, false, false]) {
      breakers.record('a', succeeded, 0);
    }
    expect(breakers.usable(TARGETS, 0, 0)).toHaveLength(3);
    breakers.record('a', false, 0);
    expect(breakers.usable(TARGETS, 0, 0).map(({ vm }) => vm)).toEqual(['b', 'c']);
  });

  it('probes with one slot after a pause, then closes or opens again', () => {
    const breakers = create();
    fail(breakers, 'a', 0);
    expect(breakers.usable(TARGETS, 0, 1000)[0]).toEqual({ slots: 1, vm: 'a' });
    breakers.record('a', false, 1100);
    expect(breakers.usable(TARGETS, 0, 2000)).toHaveLength(2);
    breakers.usable(TARGETS, 0, 2100);
    breakers.record('a', true, 2200);
    expect(breakers.usable(TARGETS, 0, 2200)[0]).toEqual({ slots: 8, vm: 'a' });
  });

  // Guards against breakers that take a pool below its availability budget.
  it('leaves at least the budget in use, those that opened first', () => {
    const breakers = create();
    for (const [index, { vm }] of TARGETS.entries()) {
      fail(breakers, vm, index);
    }
    expect(breakers.usable(TARGETS, 2, 10).map(({ vm }) => vm)).toEqual(['a', 'b']);
  });
});
