import * as z from 'zod';
import type { HlcClock, HlcTime } from './hlc';
import type { TimerService } from './timer-service';
import { HybridClock } from './hlc';

/** An event of the time line. */
export interface TimelineEvent {
  data: Record<string, boolean | number | string>;
  hlc: HlcTime;
  /** Request, record, VM or member that the event is about. */
  id: string;
  kind: string;
  process: string;
}

/** Most events that one answer carries; a full ring of each process would not fit into a control. */
export const MAX_TIMELINE_EVENTS = 2000;

/** Which events of a ring are wanted. */
export const timelineQuerySchema = z.object({
  /** Only events about this request, record, VM or member. */
  id: z.string().max(200).optional(),
  /** Most events; the latest ones are given. */
  limit: z.int().min(1).max(MAX_TIMELINE_EVENTS).default(500),
  /** Only events at or after this time, in ms since the epoch. */
  sinceMs: z.int().min(0).default(0),
});
/** Which events of a ring are wanted. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

/** Kinds of events about requests start with this. */
export const REQUEST_EVENT_PREFIX = 'request-';

/** Orders two events of any processes. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.hlc.ms - b.hlc.ms || a.hlc.count - b.hlc.count || a.process.localeCompare(b.process);
}

/** Merges events of any processes into one order and keeps the latest. */
export function latestEvents(events: readonly TimelineEvent[], limit: number): TimelineEvent[] {
  return events.toSorted(compareEvents).slice(-limit);
}

/**
 * Bounded ring of a process's events, stamped by a hybrid logical clock.
 * Events about requests have a ring of their own, so that traffic doesn't push out changes of state.
 */
export class EventRing implements HlcClock {
  readonly #clock: HybridClock;
  readonly #requests: Ring;
  readonly #states: Ring;

  constructor(
    readonly process: string,
    capacity: number,
    timers: TimerService,
  ) {
    this.#clock = new HybridClock(timers);
    this.#requests = new Ring(capacity);
    this.#states = new Ring(capacity);
  }

  /** Adds an event; the oldest one of its ring is dropped when the ring is full. */
  add(kind: string, id: string, data: TimelineEvent['data'] = {}): void {
    const ring = kind.startsWith(REQUEST_EVENT_PREFIX) ? this.#requests : this.#states;
    ring.add({ data, hlc: this.#clock.stamp(), id, kind, process: this.process });
  }

  /** Moves the clock past a time received from another process. */
  observe(remote: HlcTime): void {
    this.#clock.observe(remote);
  }

  /** Current time of the clock, for sending to another process. */
  stamp(): HlcTime {
    return this.#clock.stamp();
  }

  /** Latest events that match a query, oldest first. */
  select(query: TimelineQuery): TimelineEvent[] {
    return latestEvents(
      this.list().filter(
        (event) => event.hlc.ms >= query.sinceMs && (query.id === undefined || event.id === query.id),
      ),
      query.limit,
    );
  }

  /** Events in the ring, oldest first. */
  list(): TimelineEvent[] {
    return latestEvents([...this.#requests.list(), ...this.#states.list()], Number.POSITIVE_INFINITY);
  }
}

class Ring {
  readonly #events: TimelineEvent[] = [];
  #oldest = 0;

  constructor(private readonly capacity: number) {}

  add(event: TimelineEvent): void {
    if (this.#events.length < this.capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#oldest] = event;
    this.#oldest = (this.#oldest + 1) % this.capacity;
  }

  list(): TimelineEvent[] {
    return [...this.#events.slice(this.#oldest), ...this.#events.slice(0, this.#oldest)];
  }
}
