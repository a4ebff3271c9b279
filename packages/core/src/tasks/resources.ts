import type { Resources } from './task-spec';

/** Zero resources. */
export const NO_RESOURCES: Resources = { accelerators: 0, memoryMb: 0, processors: 0 };

/** Returns the sum of two amounts of resources. */
export function plus(a: Resources, b: Resources): Resources {
  return {
    accelerators: a.accelerators + b.accelerators,
    memoryMb: a.memoryMb + b.memoryMb,
    processors: a.processors + b.processors,
  };
}

/** Returns the difference `a - b` of two amounts of resources; values can be negative. */
export function minus(a: Resources, b: Resources): Resources {
  return {
    accelerators: a.accelerators - b.accelerators,
    memoryMb: a.memoryMb - b.memoryMb,
    processors: a.processors - b.processors,
  };
}

/** Whether a demand fits into the free capacity. */
export function fits(demand: Resources, free: Resources): boolean {
  return (
    demand.accelerators <= free.accelerators &&
    demand.memoryMb <= free.memoryMb &&
    demand.processors <= free.processors
  );
}
