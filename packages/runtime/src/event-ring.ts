import type { TimerService } from './timer-service';

/** Hybrid logical clock value: wall time in ms and a counter for events of the same ms. */
export interface HlcTime {
  count: number;
  ms: number;
}

/** An event of the time line. */
export interface TimelineEvent {
  data: Record<string, boolean | number | string>;
  hlc: HlcTime;
  /** Request, record, VM or member that the event is about. */
  id: string;
  kind: string;
  process: string;
}

/** Orders two events of any processes. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.hlc.ms - b.hlc.ms || a.hlc.count - b.hlc.count || a.process.localeCompare(b.process);
}

/** Bounded ring of a process's events, stamped by a hybrid logical clock. */
export class EventRing {
  #last: HlcTime = { count: 0, ms: 0 };
  readonly #events: TimelineEvent[] = [];
  #oldest = 0;

  constructor(
    readonly process: string,
    private readonly capacity: number,
    private readonly timers: TimerService,
  ) {}

  /** Adds an event; the oldest one is dropped when the ring is full. */
  add(kind: string, id: string, data: TimelineEvent['data'] = {}): void {
    const event: TimelineEvent = { data, hlc: this.#tick(), id, kind, process: this.process };
    if (this.#events.length < this.capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#oldest] = event;
    this.#oldest = (this.#oldest + 1) % this.capacity;
  }

  /** Moves the clock past a time received from another process. */
  observe(remote: HlcTime): void {
    const ms = Math.max(remote.ms, this.#last.ms);
    const count = Math.max(remote.ms === ms ? remote.count : 0, this.#last.ms === ms ? this.#last.count : 0);
    this.#last = { count, ms };
  }

  /** Current time of the clock, for sending to another process. */
  stamp(): HlcTime {
    return this.#tick();
  }

  /** Events in the ring, oldest first. */
  list(): TimelineEvent[] {
    return [...this.#events.slice(this.#oldest), ...this.#events.slice(0, this.#oldest)];
  }

  #tick(): HlcTime {
    const now = this.timers.now();
    this.#last =
      now > this.#last.ms ? { count: 0, ms: now } : { count: this.#last.count + 1, ms: this.#last.ms };
    return this.#last;
  }
}
