import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { EventLoopMonitor } from './event-loop-monitor';
import type { NodeMetrics } from './node-metrics';

/** Figures that show whether a leader is overloaded, over one interval. */
export interface LeaderLoad {
  /** Longest delay of the event loop, in ms. */
  eventLoopDelayMs: number;
  /** Bytes a second that the link carries in each direction; undefined if not known. */
  linkBytesPerS: number | undefined;
  /** Time since the oldest start order without an answer was planned, in ms. */
  oldestOrderMs: number;
  ordersInFlight: number;
  receivedBytesPerS: number;
  sentBytesPerS: number;
}

/** Interval between checks, in ms, and so the shortest between two lines. */
const CHECK_INTERVAL_MS = 5000;

/** Delay of the event loop from which a leader counts as overloaded, in ms. */
const MAX_EVENT_LOOP_DELAY_MS = 250;

/** Age of a start order without an answer from which a leader counts as overloaded, in ms. */
const MAX_ORDER_AGE_MS = 600;

/** Share of the link from which a leader counts as overloaded; bodies only, so headers come on top. */
const MAX_LINK_SHARE = 0.6;

const MS_PER_SECOND = 1000;

/** Returns whether a leader with this load is overloaded. */
export function isOverloaded(load: LeaderLoad): boolean {
  const linkLimit = (load.linkBytesPerS ?? Infinity) * MAX_LINK_SHARE;
  return (
    load.eventLoopDelayMs >= MAX_EVENT_LOOP_DELAY_MS ||
    load.oldestOrderMs >= MAX_ORDER_AGE_MS ||
    Math.max(load.receivedBytesPerS, load.sentBytesPerS) >= linkLimit
  );
}

/** Writes a line while the node leads and is overloaded. */
export class OverloadMonitor {
  constructor(
    private readonly linkBytesPerS: number | undefined,
    private readonly eventLoop: EventLoopMonitor,
    private readonly metrics: NodeMetrics,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Checks until the signal, that of the node's term as leader, aborts. */
  run(signal: AbortSignal): void {
    let before = this.metrics.trafficTotals();
    let checkedAt = this.timers.mono();
    this.eventLoop.takeMaxDelayMs();
    const check = (): void => {
      const now = this.timers.mono();
      const total = this.metrics.trafficTotals();
      const perSecond = (bytes: number): number => Math.round((bytes * MS_PER_SECOND) / (now - checkedAt));
      const load: LeaderLoad = {
        eventLoopDelayMs: Math.round(this.eventLoop.takeMaxDelayMs()),
        linkBytesPerS: this.linkBytesPerS,
        oldestOrderMs: Math.round(this.metrics.orders.oldestAgeMs(now)),
        ordersInFlight: this.metrics.orders.count,
        receivedBytesPerS: perSecond(total.received - before.received),
        sentBytesPerS: perSecond(total.sent - before.sent),
      };
      before = total;
      checkedAt = now;
      if (isOverloaded(load)) {
        this.log.warn(load, 'leader overloaded');
      }
    };
    this.timers.every(CHECK_INTERVAL_MS, check, signal);
  }
}
