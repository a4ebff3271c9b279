import type { FleetReplica } from '@sequoiaquay/platform';

/** An entry process that other entries can call. */
export interface LiveEntry {
  /** Address of its peers' interface, `host:port`. */
  address: string;
  name: string;
}

/** View of the entries that are alive, for soft decisions such as queue ownership. */
export interface LiveMembers {
  /** Entries taken to be alive, this one included, ordered by name. */
  entries: () => LiveEntry[];
}

/** Takes every entry that has joined in the log to be alive. */
export class JoinedMembers implements LiveMembers {
  constructor(private readonly replica: FleetReplica) {}

  entries(): LiveEntry[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .map((member) => ({ address: member.address, name: member.id }))
      .sort((a, b) => a.name.localeCompare(b.name));
  }
}
