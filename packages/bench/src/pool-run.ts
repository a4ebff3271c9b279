import type { TimerService } from '@sequoiaquay/runtime';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { Arrival } from './arrival-trace';
import type { Policy, PolicyFactory, PoolShape } from './policy';
import { isPeak } from './arrival-trace';
import { EventHeap } from './event-heap';

/** What a policy did with a trace. Times in ms. */
export interface RunResult {
  /** Mean time of the policy's decisions for one request, in microseconds. */
  decisionUs: number;
  early: number;
  late: number;
  /** Waits in tenths of a ms, since the histogram holds whole numbers. */
  longWaits: Histogram;
  name: string;
  /** Requests that were sent to a target without a free slot. */
  overfilled: number;
  /** Useful slot time in the peaks divided by the pool's slot time in them. */
  peakGoodput: number;
  /** Times from arrival to the end of the run, in the same unit. */
  shortResponses: Histogram;
  shortWaits: Histogram;
  urgentWaits: Histogram;
}

/** Factor between a ms and the unit of the histograms. */
export const WAIT_UNITS_PER_MS = 10;

const TICK_MS = 100;

/** Step in which the slot time within peaks is added up, in ms. */
const GOODPUT_STEP_MS = 10;

interface Execution {
  arrival: Arrival;
  target: number;
}

/** Drives one policy with a recorded trace on a simulated clock. */
export class PoolRun {
  #decisionMs = 0;
  #endAt = 0;
  readonly #ends = new EventHeap<Execution>();
  #now = 0;
  readonly #policy: Policy;
  readonly #result: RunResult;
  readonly #sent: Execution[] = [];
  readonly #running: number[];
  #usefulMs = 0;
  readonly #waiting: Arrival[][];

  constructor(
    private readonly pool: PoolShape,
    factory: PolicyFactory,
    seed: number,
    private readonly timers: TimerService,
  ) {
    this.#running = Array<number>(pool.targets).fill(0);
    this.#waiting = Array.from({ length: pool.targets }, () => []);
    const sink = {
      refuse: (_arrival: Arrival, when: 'early' | 'late'): void => {
        this.#result[when] += 1;
      },
      send: (arrival: Arrival, target: number): void => {
        this.#sent.push({ arrival, target });
      },
    };
    this.#policy = factory(pool, sink, seed);
    this.#result = {
      decisionUs: 0,
      early: 0,
      late: 0,
      longWaits: build(),
      name: this.#policy.name,
      overfilled: 0,
      peakGoodput: 0,
      shortResponses: build(),
      shortWaits: build(),
      urgentWaits: build(),
    };
  }

  /** Runs the trace to its end. */
  run(trace: readonly Arrival[]): RunResult {
    this.#endAt = trace.at(-1)?.at ?? 0;
    let next = 0;
    let tickAt = TICK_MS;
    while (next < trace.length || this.#ends.nextAt < Infinity) {
      const arrival = trace[next];
      this.#now = Math.min(arrival?.at ?? Infinity, this.#ends.nextAt, tickAt);
      if (this.#now === tickAt) {
        tickAt += TICK_MS;
        this.#decide(() => {
          this.#policy.tick(this.#now);
        });
      } else if (arrival?.at === this.#now) {
        next += 1;
        this.#decide(() => {
          this.#policy.arrive(arrival, this.#now);
        });
      } else {
        this.#end();
      }
    }
    this.#result.decisionUs = (this.#decisionMs * 1000) / Math.max(1, trace.length);
    this.#result.peakGoodput = this.#usefulMs / this.#peakSlotMs(this.#endAt);
    return this.#result;
  }

  #decide(decision: () => void): void {
    const startedAt = this.timers.mono();
    decision();
    this.#decisionMs += this.timers.mono() - startedAt;
    for (const { arrival, target } of this.#sent.splice(0)) {
      this.#result.overfilled += (this.#running[target] ?? 0) >= this.pool.slots ? 1 : 0;
      this.#waiting[target]?.push(arrival);
      this.#startNext(target);
    }
  }

  #end(): void {
    const ended = this.#ends.pop();
    if (ended === undefined) {
      return;
    }
    this.#running[ended.target] = (this.#running[ended.target] ?? 1) - 1;
    this.#startNext(ended.target);
    this.#decide(() => {
      this.#policy.done(ended.arrival, ended.target, this.#now);
    });
  }

  // A target has a slot for each running request; more wait at the target in order of arrival.
  #startNext(target: number): void {
    if (this.#running[target] === undefined || this.#running[target] >= this.pool.slots) {
      return;
    }
    const arrival = this.#waiting[target]?.shift();
    if (arrival === undefined) {
      return;
    }
    this.#running[target] += 1;
    this.#ends.push(this.#now + arrival.runMs, { arrival, target });
    this.#measure(arrival);
  }

  #measure(arrival: Arrival): void {
    const waitMs = this.#now - arrival.at;
    if (waitMs > arrival.deadlineMs) {
      // The target runs it although its caller has gone.
      this.#result.late += 1;
      return;
    }
    const units = Math.round(waitMs * WAIT_UNITS_PER_MS);
    if (arrival.kind === 'short') {
      this.#result.shortResponses.recordValue(Math.round((waitMs + arrival.runMs) * WAIT_UNITS_PER_MS));
    }
    (arrival.kind === 'short' ? this.#result.shortWaits : this.#result.longWaits).recordValue(units);
    if (arrival.urgent) {
      this.#result.urgentWaits.recordValue(units);
    }
    const endAt = Math.min(this.#now + arrival.runMs, this.#endAt);
    for (let at = this.#now; at < endAt; at += GOODPUT_STEP_MS) {
      this.#usefulMs += isPeak(at) ? Math.min(GOODPUT_STEP_MS, endAt - at) : 0;
    }
  }

  #peakSlotMs(endAt: number): number {
    let peakMs = 0;
    for (let at = 0; at < endAt; at += GOODPUT_STEP_MS) {
      peakMs += isPeak(at) ? GOODPUT_STEP_MS : 0;
    }
    return peakMs * this.pool.targets * this.pool.slots;
  }
}
