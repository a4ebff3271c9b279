import type { Resources } from './task-spec';

/** No demand at all. */
export const NO_RESOURCES: Resources = { accelerators: 0, memoryMb: 0, processors: 0 };

/** Sum of two demands. */
export function plus(a: Resources, b: Resources): Resources {
  return {
    accelerators: a.accelerators + b.accelerators,
    memoryMb: a.memoryMb + b.memoryMb,
    processors: a.processors + b.processors,
  };
}

/** What is left of a capacity; negative where it is overdrawn. */
export function minus(a: Resources, b: Resources): Resources {
  return {
    accelerators: a.accelerators - b.accelerators,
    memoryMb: a.memoryMb - b.memoryMb,
    processors: a.processors - b.processors,
  };
}

/** Whether a demand fits into what is free. */
export function fits(demand: Resources, free: Resources): boolean {
  return (
    demand.accelerators <= free.accelerators &&
    demand.memoryMb <= free.memoryMb &&
    demand.processors <= free.processors
  );
}
