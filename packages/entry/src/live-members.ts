import type { FleetReplica } from '@sequoiaquay/platform';

/** Entry process that other entries can call. */
export interface LiveEntry {
  /** Address of its peer interface, `host:port`. */
  address: string;
  name: string;
}

/** View of the live entries, for decisions such as queue ownership that tolerate a wrong view. */
export interface LiveMembers {
  /** Returns the entries considered live, including this one, sorted by name. */
  entries: () => LiveEntry[];
}

/** Considers every entry that has joined in the log live. */
export class JoinedMembers implements LiveMembers {
  constructor(private readonly replica: FleetReplica) {}

  entries(): LiveEntry[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .map((member) => ({ address: member.address, name: member.id }))
      .sort((a, b) => a.name.localeCompare(b.name));
  }
}
