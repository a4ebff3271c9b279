import type { FleetReplica } from '@sequoiaquay/platform';
import type { ClaimHolder } from './claim-service';
import type { InFlight } from './in-flight';

/** Status that an entry reports to a control process. */
export interface EntryStatus {
  /** Whether the entry has reached the end of the fleet records at least once. */
  caughtUp: boolean;
  /** Outstanding grants of the queues of this entry, by VM. */
  granted: Record<string, number>;
  incarnation: number;
  /** Requests of this entry in flight, by VM. */
  inFlight: Record<string, number>;
  name: string;
  /** Offset of the next fleet record to apply; all earlier records are in force on this entry. */
  next: number;
  /** Requests waiting for a slot, by pool. */
  queued: Record<string, number>;
  /** Time since a fleet state source last answered, in ms; null before the first answer. */
  stateAgeMs: number | null;
}

/** Components that the status is read from. */
export interface EntryStatusDependencies {
  holder: ClaimHolder;
  inFlight: InFlight;
  queuedByPool: () => ReadonlyMap<string, number>;
  replica: FleetReplica;
}

/** Creates a function that returns the current status of the entry. */
export function createEntryStatus(deps: EntryStatusDependencies): () => EntryStatus {
  return () => ({
    caughtUp: deps.replica.caughtUp,
    granted: countsByVm(deps, (vm) => deps.inFlight.granted(vm)),
    inFlight: countsByVm(deps, (vm) => deps.inFlight.count(vm)),
    incarnation: deps.holder.incarnation,
    name: deps.holder.entry,
    next: deps.replica.state.next,
    queued: Object.fromEntries(deps.queuedByPool()),
    stateAgeMs: deps.replica.ageMs ?? null,
  });
}

function countsByVm(deps: EntryStatusDependencies, countOf: (vm: string) => number): Record<string, number> {
  const counts = [...deps.replica.state.vms.keys()].map((vm) => [vm, countOf(vm)] as const);
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}
