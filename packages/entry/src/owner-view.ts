import type { FleetReplica } from '@sequoiaquay/platform';
import { rendezvousOwner } from '@sequoiaquay/core';
import type { ClaimHolder } from './claim-service';
import type { LiveEntry, LiveMembers } from './live-members';

/** Determines the owner of each pool's queue from this entry's view of the members. */
export class OwnerView {
  constructor(
    private readonly replica: FleetReplica,
    private readonly members: LiveMembers,
    private readonly self: ClaimHolder,
  ) {}

  /** Whether the log contains the join of the current incarnation of this entry. */
  get hasJoined(): boolean {
    return this.replica.state.members.get(this.self.entry)?.incarnation === this.self.incarnation;
  }

  /** Names of the entries that have joined in the log, sorted. */
  get joinedEntries(): string[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .map((member) => member.id)
      .sort();
  }

  /** Live entries that may own a queue; a drain waits only for the grants of entries that have joined. */
  candidates(): LiveEntry[] {
    return this.members
      .entries()
      .filter(({ name }) =>
        name === this.self.entry ? this.hasJoined : this.replica.state.members.has(name),
      );
  }

  /** Returns a string that changes whenever the owner of a pool may have changed. */
  version(): string {
    return this.candidates()
      .map((entry) => entry.name)
      .join();
  }

  /** Returns the owner of a pool's queue, or undefined if no live entry has joined. */
  ownerOf(pool: string): LiveEntry | undefined {
    const candidates = this.candidates();
    const name = rendezvousOwner(
      pool,
      candidates.map((entry) => entry.name),
    );
    return candidates.find((entry) => entry.name === name);
  }
}
