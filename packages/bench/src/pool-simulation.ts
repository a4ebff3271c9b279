import type { TimerService } from '@sequoiaquay/runtime';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { Arrival } from './arrival-trace';
import type { Policy, PolicyFactory, PoolSize } from './policy';
import { isPeak } from './arrival-trace';
import { EventHeap } from './event-heap';

/** Result of a policy on a trace. Waits and response times are in units of 0.1 ms (`HISTOGRAM_UNITS_PER_MS`). */
export interface SimulationResult {
  /** Mean time that the policy spends on its decisions per request, in microseconds. */
  decisionUs: number;
  /** Requests refused on arrival. */
  early: number;
  /** Requests refused after they were accepted, or started after their deadline. */
  late: number;
  /** Waits before the start of a run, in tenths of a ms, because the histogram only holds integers. */
  longWaits: Histogram;
  name: string;
  /** Requests sent to a target without a free slot. */
  overfilled: number;
  /** Slot time in peaks spent on requests that started by their deadline, divided by all slot time in peaks. */
  peakGoodput: number;
  /** Times from arrival to the end of the run, in the same unit as the waits. */
  shortResponses: Histogram;
  shortWaits: Histogram;
  urgentWaits: Histogram;
}

/** Number of histogram units in 1 ms. */
export const HISTOGRAM_UNITS_PER_MS = 10;

const TICK_INTERVAL_MS = 100;

/** Step by which the slot time in peaks is summed. */
const GOODPUT_STEP_MS = 10;

interface Execution {
  arrival: Arrival;
  target: number;
}

/** Runs one policy on a trace with a simulated clock. */
export class PoolSimulation {
  #decisionMs = 0;
  #traceEndAt = 0;
  readonly #completions = new EventHeap<Execution>();
  #now = 0;
  readonly #policy: Policy;
  readonly #result: SimulationResult;
  readonly #pendingSends: Execution[] = [];
  readonly #runningByTarget: number[];
  #usefulPeakMs = 0;
  readonly #waitingByTarget: Arrival[][];

  constructor(
    private readonly pool: PoolSize,
    factory: PolicyFactory,
    seed: number,
    private readonly timers: TimerService,
  ) {
    this.#runningByTarget = Array<number>(pool.targets).fill(0);
    this.#waitingByTarget = Array.from({ length: pool.targets }, () => []);
    const sink = {
      refuse: (_arrival: Arrival, when: 'early' | 'late'): void => {
        this.#result[when] += 1;
      },
      send: (arrival: Arrival, target: number): void => {
        this.#pendingSends.push({ arrival, target });
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

  /** Runs the trace until all requests have ended and returns the result. */
  run(trace: readonly Arrival[]): SimulationResult {
    this.#traceEndAt = trace.at(-1)?.arrivedAt ?? 0;
    let nextIndex = 0;
    let nextTickAt = TICK_INTERVAL_MS;
    while (nextIndex < trace.length || this.#completions.nextAt < Infinity) {
      const arrival = trace[nextIndex];
      this.#now = Math.min(arrival?.arrivedAt ?? Infinity, this.#completions.nextAt, nextTickAt);
      if (this.#now === nextTickAt) {
        nextTickAt += TICK_INTERVAL_MS;
        this.#timeDecision(() => {
          this.#policy.onTick(this.#now);
        });
      } else if (arrival?.arrivedAt === this.#now) {
        nextIndex += 1;
        this.#timeDecision(() => {
          this.#policy.onArrival(arrival, this.#now);
        });
      } else {
        this.#completeNext();
      }
    }
    this.#result.decisionUs = (this.#decisionMs * 1000) / Math.max(1, trace.length);
    this.#result.peakGoodput = this.#usefulPeakMs / this.#computePeakSlotMs(this.#traceEndAt);
    return this.#result;
  }

  #timeDecision(decision: () => void): void {
    const startedAt = this.timers.mono();
    decision();
    this.#decisionMs += this.timers.mono() - startedAt;
    for (const { arrival, target } of this.#pendingSends.splice(0)) {
      this.#result.overfilled += (this.#runningByTarget[target] ?? 0) >= this.pool.slots ? 1 : 0;
      this.#waitingByTarget[target]?.push(arrival);
      this.#startNext(target);
    }
  }

  #completeNext(): void {
    const execution = this.#completions.pop();
    if (execution === undefined) {
      return;
    }
    this.#runningByTarget[execution.target] = (this.#runningByTarget[execution.target] ?? 1) - 1;
    this.#startNext(execution.target);
    this.#timeDecision(() => {
      this.#policy.onCompletion(execution.arrival, execution.target, this.#now);
    });
  }

  // Each running request occupies a slot of its target; further requests wait there in order of arrival.
  #startNext(target: number): void {
    if (this.#runningByTarget[target] === undefined || this.#runningByTarget[target] >= this.pool.slots) {
      return;
    }
    const arrival = this.#waitingByTarget[target]?.shift();
    if (arrival === undefined) {
      return;
    }
    this.#runningByTarget[target] += 1;
    this.#completions.push(this.#now + arrival.runMs, { arrival, target });
    this.#recordStart(arrival);
  }

  #recordStart(arrival: Arrival): void {
    const waitMs = this.#now - arrival.arrivedAt;
    if (waitMs > arrival.deadlineMs) {
      // The target runs the request although its caller no longer waits for the response.
      this.#result.late += 1;
      return;
    }
    const waitUnits = Math.round(waitMs * HISTOGRAM_UNITS_PER_MS);
    if (arrival.kind === 'short') {
      this.#result.shortResponses.recordValue(Math.round((waitMs + arrival.runMs) * HISTOGRAM_UNITS_PER_MS));
    }
    (arrival.kind === 'short' ? this.#result.shortWaits : this.#result.longWaits).recordValue(waitUnits);
    if (arrival.urgent) {
      this.#result.urgentWaits.recordValue(waitUnits);
    }
    const endAt = Math.min(this.#now + arrival.runMs, this.#traceEndAt);
    for (let at = this.#now; at < endAt; at += GOODPUT_STEP_MS) {
      this.#usefulPeakMs += isPeak(at) ? Math.min(GOODPUT_STEP_MS, endAt - at) : 0;
    }
  }

  #computePeakSlotMs(endAt: number): number {
    let peakMs = 0;
    for (let at = 0; at < endAt; at += GOODPUT_STEP_MS) {
      peakMs += isPeak(at) ? GOODPUT_STEP_MS : 0;
    }
    return peakMs * this.pool.targets * this.pool.slots;
  }
}
