import type { Demand } from './demand';
import type { ExpectedEnd } from './expected-run-ends';
import type { StepRun } from './step-run';
import type { Worker } from './worker';

/** Worker of a rack, or VM that arrives there, as the expected waits see it. */
export interface RackPlace {
  capacity: Demand;
  /** Returns the expected ends of its runs by time. */
  ends: () => readonly ExpectedEnd[];
  labels: readonly string[];
  /** Time until tasks can be assigned to it, in ms. */
  opensInMs: number;
  /** Undefined for a VM that arrives. */
  worker: Worker | undefined;
}

/** Expected room for one task of a step. */
export interface RackSlot {
  /** Time until there is room, in ms. */
  inMs: number;
  place: HeldPlace;
  step: StepRun;
}

/** Place with the room on it that tasks wait for. */
export interface HeldPlace extends RackPlace {
  /** Expected ends, and the number of runs when they were read: runs are only added during an assignment. */
  cached: { ends: readonly ExpectedEnd[]; runCount: number } | undefined;
  readonly counts: Map<StepRun, number>;
  readonly held: Demand;
  /** Time until there is room for a demand, as found last; undefined if room was held or released since. */
  room: { demand: Demand; inMs: number | undefined; runCount: number } | undefined;
}

/** Allowance for the rounding of sums of demands, in thousandths of a core, accelerators or MB. */
const ROUNDING_ALLOWANCE = 1e-6;

const NOTHING: Demand = { cpuMilli: 0, gpus: 0, memoryMb: 0 };

/**
 * Expected times at which the workers of a rack have room, in one assignment of tasks. Room for which a task waits is
 * held for it here alone, so that the next one expects later room; any other task may still take it.
 */
export class RackTimeline {
  readonly #places: readonly HeldPlace[];

  constructor(places: readonly RackPlace[]) {
    this.#places = places.map((place) => ({
      ...place,
      cached: undefined,
      counts: new Map(),
      held: { ...NOTHING },
      room: undefined,
    }));
  }

  /** Number of workers and arriving VMs. */
  get size(): number {
    return this.#places.length;
  }

  /** Number of tasks that room is held for. */
  get heldCount(): number {
    return this.#places.reduce((sum, { counts }) => sum + sumOf(counts.values()), 0);
  }

  /** Returns the places that `accepts` returns true for. */
  placesFor(accepts: (place: RackPlace) => boolean): readonly HeldPlace[] {
    return this.#places.filter(accepts);
  }

  /** Returns the earliest room for a number of tasks of a step on some places; undefined if it is not expected for all. */
  findSlots(step: StepRun, count: number, places: readonly HeldPlace[]): RackSlot[] | undefined {
    const slots: RackSlot[] = [];
    for (let slot = earliest(step, places); slot !== undefined; slot = earliest(step, places)) {
      changeHold(slot, 1);
      slots.push(slot);
      if (slots.length === count) {
        break;
      }
    }
    for (const slot of slots) {
      changeHold(slot, -1);
    }
    return slots.length < count ? undefined : slots;
  }

  /** Holds room for tasks that wait for it. */
  hold(slots: readonly RackSlot[]): void {
    for (const slot of slots) {
      changeHold(slot, 1);
    }
  }
}

/** Returns the time until there is room for all of several tasks, in ms. */
export function latestOf(slots: readonly RackSlot[]): number {
  return slots.reduce((latest, { inMs }) => Math.max(latest, inMs), 0);
}

function earliest(step: StepRun, places: readonly HeldPlace[]): RackSlot | undefined {
  let best: RackSlot | undefined;
  for (const place of places) {
    const inMs = roomIn(place, step);
    if (inMs !== undefined && inMs < (best?.inMs ?? Infinity)) {
      best = { inMs, place, step };
    }
  }
  return best;
}

function sumOf(counts: Iterable<number>): number {
  let sum = 0;
  for (const count of counts) {
    sum += count;
  }
  return sum;
}

function changeHold({ place, step }: RackSlot, sign: 1 | -1): void {
  const { cpuMilli, gpus, memoryMb } = demandOf(step);
  place.held.cpuMilli += sign * cpuMilli;
  place.held.gpus += sign * gpus;
  place.held.memoryMb += sign * memoryMb;
  place.room = undefined;
  place.counts.set(step, (place.counts.get(step) ?? 0) + sign);
}

function roomIn(place: HeldPlace, step: StepRun): number | undefined {
  const { maxPerWorker } = step.spec;
  const count = maxPerWorker === 0 ? 0 : (place.worker?.countOf(step) ?? 0) + (place.counts.get(step) ?? 0);
  if (maxPerWorker > 0 && count >= maxPerWorker) {
    return undefined;
  }
  const demand = demandOf(step);
  const runCount = runCountOf(place);
  const { room } = place;
  if (room?.runCount === runCount && isSame(room.demand, demand)) {
    return room.inMs;
  }
  const inMs = computeRoom(place, demand);
  place.room = { demand, inMs, runCount };
  return inMs;
}

function computeRoom(place: HeldPlace, demand: Demand): number | undefined {
  const reserved = place.worker?.reserved ?? NOTHING;
  const missing: Demand = {
    cpuMilli: demand.cpuMilli + reserved.cpuMilli + place.held.cpuMilli - place.capacity.cpuMilli,
    gpus: demand.gpus + reserved.gpus + place.held.gpus - place.capacity.gpus,
    memoryMb: demand.memoryMb + reserved.memoryMb + place.held.memoryMb - place.capacity.memoryMb,
  };
  if (isCovered(missing)) {
    return place.opensInMs;
  }
  for (const end of endsOf(place)) {
    missing.cpuMilli -= end.demand.cpuMilli;
    missing.gpus -= end.demand.gpus;
    missing.memoryMb -= end.demand.memoryMb;
    if (isCovered(missing)) {
      return Math.max(place.opensInMs, end.inMs);
    }
  }
  return undefined;
}

function runCountOf({ worker }: HeldPlace): number {
  return worker?.runs.size ?? 0;
}

function isSame(a: Demand, b: Demand): boolean {
  return a.cpuMilli === b.cpuMilli && a.gpus === b.gpus && a.memoryMb === b.memoryMb;
}

function endsOf(place: HeldPlace): readonly ExpectedEnd[] {
  const runCount = runCountOf(place);
  if (place.cached?.runCount !== runCount) {
    place.cached = { ends: place.ends(), runCount };
  }
  return place.cached.ends;
}

function isCovered({ cpuMilli, gpus, memoryMb }: Demand): boolean {
  return Math.max(cpuMilli, gpus, memoryMb) <= ROUNDING_ALLOWANCE;
}

function demandOf({ spec }: StepRun): Demand {
  return spec.fillsIdle ? { ...spec.demand, cpuMilli: 0 } : spec.demand;
}
