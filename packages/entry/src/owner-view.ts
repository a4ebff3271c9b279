import type { FleetReplica } from '@sequoiaquay/platform';
import { rendezvousOwner } from '@sequoiaquay/core';
import type { ClaimHolder } from './claim-service';
import type { LiveEntry, LiveMembers } from './live-members';

/** This entry's view of who owns a pool's queue. */
export class OwnerView {
  constructor(
    private readonly replica: FleetReplica,
    private readonly members: LiveMembers,
    private readonly self: ClaimHolder,
  ) {}

  /** Whether this entry has joined in the log in its current life. */
  get joined(): boolean {
    return this.replica.state.members.get(this.self.entry)?.incarnation === this.self.incarnation;
  }

  /** Entries that have joined in the log, ordered by name. */
  get joinedEntries(): string[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .map((member) => member.id)
      .sort();
  }

  /** Live entries that may own a queue: only one that has joined covers its grants when a VM drains. */
  candidates(): LiveEntry[] {
    return this.members
      .entries()
      .filter(({ name }) => (name === this.self.entry ? this.joined : this.replica.state.members.has(name)));
  }

  /** Changes whenever an owner may have changed. */
  version(): string {
    return this.candidates()
      .map((entry) => entry.name)
      .join();
  }

  /** Owner of a pool's queue; undefined when no live entry has joined. */
  ownerOf(pool: string): LiveEntry | undefined {
    const candidates = this.candidates();
    const name = rendezvousOwner(
      pool,
      candidates.map((entry) => entry.name),
    );
    return candidates.find((entry) => entry.name === name);
  }
}
