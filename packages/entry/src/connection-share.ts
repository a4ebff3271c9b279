import type { FleetState } from '@sequoiaquay/core';

/** Upper bound of the connections per target; applies also while the fleet state contains no targets. */
const DEFAULT_CONNECTIONS = 64;

/** Returns the connections that each entry may open per target: the smallest limit divided by the entries. */
export function connectionsPerMember(state: FleetState): number {
  const entries = [...state.members.values()].filter((member) => member.role === 'entry').length;
  const targets = [...state.vms.values()].filter((vm) => vm.role === 'target');
  const connections = targets.reduce((least, vm) => Math.min(least, vm.connections), DEFAULT_CONNECTIONS);
  return Math.max(1, Math.floor(connections / Math.max(1, entries)));
}
