import type { TimerService } from '@sequoiaquay/runtime';
import { compareEvents, EventRing, formatHlc, HybridClock, parseHlc } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';

function clockAt(ms: number): TimerService {
  return {
    after: () => undefined,
    every: () => undefined,
    mono: () => ms,
    now: () => ms,
    sleep: () => Promise.resolve(),
  };
}

describe('hybrid logical clock', () => {
  it('orders an effect after its cause when the wall clock of the receiving process is behind', () => {
    const ahead = new EventRing('ahead', 10, clockAt(5000));
    const behind = new EventRing('behind', 10, clockAt(1000));
    ahead.add('cause', 'x');
    behind.observe(ahead.stamp());
    behind.add('effect', 'x');
    const order = [...behind.list(), ...ahead.list()].sort(compareEvents).map((event) => event.kind);
    expect(order).toEqual(['cause', 'effect']);
  });

  it('ignores a remote time more than a minute ahead', () => {
    const clock = new HybridClock(clockAt(1000));
    clock.observe({ count: 0, ms: 1000 + 61_000 });
    expect(clock.stamp().ms).toBe(1000);
  });

  it.each([undefined, '', '1', 'a.b', '1.-2', '9999999999999999.0', '1.2.3', '__proto__'])(
    'parses the missing or malformed header %s as undefined',
    (header) => {
      expect(parseHlc(header)).toBeUndefined();
    },
  );

  it('parses the header that it formats', () => {
    expect(parseHlc(formatHlc({ count: 3, ms: 77 }))).toEqual({ count: 3, ms: 77 });
  });
});

describe('event ring', () => {
  it('keeps state changes when request events overflow their ring buffer', () => {
    const ring = new EventRing('entry', 3, clockAt(1));
    ring.add('vm-drain', 'vm-1');
    for (let index = 0; index < 10; index += 1) {
      ring.add('request-sent', `r${index}`);
    }
    expect(ring.list().map((event) => event.id)).toEqual(['vm-1', 'r7', 'r8', 'r9']);
  });
});
