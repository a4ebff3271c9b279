import type { FleetReplica } from '@sequoiaquay/platform';
import type { ClaimHolder } from './claim-service';
import type { InFlight } from './in-flight';

/** What an entry says about itself to a control. */
export interface EntryStatus {
  /** Whether the entry has reached the end of its source of fleet records once. */
  caughtUp: boolean;
  /** Grants on each VM that the queues of this entry have given out. */
  granted: Record<string, number>;
  incarnation: number;
  /** Requests of this entry on each VM. */
  inFlight: Record<string, number>;
  name: string;
  /** Offset of the next fleet record to apply: all versions up to it are in force here. */
  next: number;
  /** Requests that wait for a slot, by pool. */
  queued: Record<string, number>;
  /** Time since a source of fleet state last answered, in ms; null before the first answer. */
  stateAgeMs: number | null;
}

/** Parts of an entry that its status is read from. */
export interface EntryStatusParts {
  holder: ClaimHolder;
  inFlight: InFlight;
  queued: () => ReadonlyMap<string, number>;
  replica: FleetReplica;
}

/** Gives a function that reads the entry's present status. */
export function createEntryStatus(parts: EntryStatusParts): () => EntryStatus {
  return () => ({
    caughtUp: parts.replica.caughtUp,
    granted: countsByVm(parts, (vm) => parts.inFlight.granted(vm)),
    inFlight: countsByVm(parts, (vm) => parts.inFlight.count(vm)),
    incarnation: parts.holder.incarnation,
    name: parts.holder.entry,
    next: parts.replica.state.next,
    queued: Object.fromEntries(parts.queued()),
    stateAgeMs: parts.replica.ageMs ?? null,
  });
}

function countsByVm(parts: EntryStatusParts, countOf: (vm: string) => number): Record<string, number> {
  const counts = [...parts.replica.state.vms.keys()].map((vm) => [vm, countOf(vm)] as const);
  return Object.fromEntries(counts.filter(([, count]) => count > 0));
}
