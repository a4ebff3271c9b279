import type { TimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import { PlanTimer } from '../src/plan-timer';

const { signal } = new AbortController();

/** Runs a plan of each duration in ms and returns the delays after which the next one was scheduled. */
function delaysAfter(...durationsMs: number[]): number[] {
  const delays: number[] = [];
  let now = 0;
  let durationMs = 0;
  let pending: (() => void) | undefined;
  const unused = (): never => {
    throw new Error('not used');
  };
  const timers: TimerService = {
    after: (delayMs, callback) => {
      delays.push(delayMs);
      pending = callback;
    },
    every: unused,
    mono: () => now,
    now: unused,
    sleep: unused,
  };
  const plan = (): void => {
    now += durationMs;
  };
  const timer = new PlanTimer(plan, timers, signal);
  for (durationMs of durationsMs) {
    timer.schedule();
    timer.schedule();
    pending?.();
  }
  timer.schedule();
  return delays;
}

// Guards against a leader that plans without a pause on a small share of a core, and against delays on a calm one.
describe('PlanTimer', () => {
  it('plans 2 ms after an event while plans are short, once for several events', () => {
    expect(delaysAfter(0.1, 0.5)).toEqual([2, 2, 2]);
  });

  it('waits for four times the duration of the last plan, but no longer than 50 ms', () => {
    expect(delaysAfter(3, 400, 0.1)).toEqual([2, 12, 50, 2]);
  });
});
