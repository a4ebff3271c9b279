import { SystemTimerService } from '@sequoiaquay/runtime';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { EventLoopMonitor } from '../src/event-loop-monitor';
import { NodeMetrics } from '../src/node-metrics';
import { isOverloaded } from '../src/overload-monitor';

const IDLE = {
  eventLoopDelayMs: 5,
  linkBytesPerS: 875_000,
  oldestOrderMs: 20,
  ordersInFlight: 3,
  receivedBytesPerS: 1000,
  sentBytesPerS: 1000,
};

// Guards against an overloaded leader without a line, and against lines of one that is not.
describe('isOverloaded', () => {
  it.each([
    ['an idle leader', {}, false],
    ['a busy event loop', { eventLoopDelayMs: 400 }, true],
    ['an old order', { oldestOrderMs: 700 }, true],
    ['a full link, sending', { sentBytesPerS: 800_000 }, true],
    ['a full link, receiving', { receivedBytesPerS: 800_000 }, true],
    ['much traffic on a link of unknown capacity', { linkBytesPerS: undefined, sentBytesPerS: 1e9 }, false],
  ])('decides for %s', (_, load, expected) => {
    expect(isOverloaded({ ...IDLE, ...load })).toBe(expected);
  });
});

describe('EventLoopMonitor', () => {
  it('measures the time for which the event loop was blocked', async () => {
    const stop = new AbortController();
    const monitor = new EventLoopMonitor(new NodeMetrics(), new SystemTimerService());
    void monitor.run(stop.signal);
    await delay(20);
    const until = performance.now() + 400;
    while (performance.now() < until) {
      // Blocks the event loop.
    }
    await delay(20);
    expect(monitor.takeMaxDelayMs()).toBeGreaterThan(200);
    expect(monitor.takeMaxDelayMs()).toBe(0);
    stop.abort();
  });
});
