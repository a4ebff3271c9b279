import * as z from 'zod';
import type { HlcClock, HlcTime } from './hlc';
import type { TimerService } from './timer-service';
import { HybridClock } from './hlc';

/** Event on the timeline of the system. */
export interface TimelineEvent {
  data: Record<string, boolean | number | string>;
  hlc: HlcTime;
  /** Id of the request, record, VM or member that the event concerns. */
  id: string;
  kind: string;
  /** Name of the process that recorded the event. */
  process: string;
}

/** Maximum number of events per response; the full rings of all processes would exceed a control's memory. */
export const MAX_TIMELINE_EVENTS = 2000;

/** Schema of a query that filters the events of a ring. */
export const timelineQuerySchema = z.object({
  /** Selects only events that concern this request, record, VM or member. */
  id: z.string().max(200).optional(),
  /** Maximum number of events; the latest ones are returned. */
  limit: z.int().min(1).max(MAX_TIMELINE_EVENTS).default(500),
  /** Selects only events at or after this time, in ms since the epoch. */
  sinceMs: z.int().min(0).default(0),
});
/** Query that filters the events of a ring. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

/** Prefix of the kinds of events that concern requests. */
export const REQUEST_EVENT_PREFIX = 'request-';

/** Compares two events, also of different processes, by clock value and then by process name. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.hlc.ms - b.hlc.ms || a.hlc.count - b.hlc.count || a.process.localeCompare(b.process);
}

/** Sorts the events of any number of processes and returns the latest `limit` of them, oldest first. */
export function latestEvents(events: readonly TimelineEvent[], limit: number): TimelineEvent[] {
  return events.toSorted(compareEvents).slice(-limit);
}

/**
 * Bounded event history of one process, timestamped by a hybrid logical clock.
 * Request events are stored in a separate ring buffer, so that traffic does not evict state changes.
 */
export class EventRing implements HlcClock {
  readonly #clock: HybridClock;
  readonly #requestEvents: RingBuffer;
  readonly #stateEvents: RingBuffer;

  constructor(
    readonly process: string,
    capacity: number,
    timers: TimerService,
  ) {
    this.#clock = new HybridClock(timers);
    this.#requestEvents = new RingBuffer(capacity);
    this.#stateEvents = new RingBuffer(capacity);
  }

  /** Adds an event with the current clock value; a full ring buffer drops its oldest event. */
  add(kind: string, id: string, data: TimelineEvent['data'] = {}): void {
    const ring = kind.startsWith(REQUEST_EVENT_PREFIX) ? this.#requestEvents : this.#stateEvents;
    ring.add({ data, hlc: this.#clock.stamp(), id, kind, process: this.process });
  }

  /** Advances the clock past a time received from another process. */
  observe(remote: HlcTime): void {
    this.#clock.observe(remote);
  }

  /** Advances the clock and returns its value, to be sent to another process. */
  stamp(): HlcTime {
    return this.#clock.stamp();
  }

  /** Returns the latest events that match a query, oldest first. */
  select(query: TimelineQuery): TimelineEvent[] {
    return latestEvents(
      this.list().filter(
        (event) => event.hlc.ms >= query.sinceMs && (query.id === undefined || event.id === query.id),
      ),
      query.limit,
    );
  }

  /** Returns all stored events, oldest first. */
  list(): TimelineEvent[] {
    return latestEvents(
      [...this.#requestEvents.list(), ...this.#stateEvents.list()],
      Number.POSITIVE_INFINITY,
    );
  }
}

class RingBuffer {
  readonly #events: TimelineEvent[] = [];
  #oldestIndex = 0;

  constructor(private readonly capacity: number) {}

  add(event: TimelineEvent): void {
    if (this.#events.length < this.capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#oldestIndex] = event;
    this.#oldestIndex = (this.#oldestIndex + 1) % this.capacity;
  }

  list(): TimelineEvent[] {
    return [...this.#events.slice(this.#oldestIndex), ...this.#events.slice(0, this.#oldestIndex)];
  }
}
