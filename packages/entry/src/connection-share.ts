import type { FleetState } from '@sequoiaquay/core';

/** Connections that a target accepts when the fleet state names none. */
const DEFAULT_CONNECTIONS = 64;

/** Connections that each entry may open to one target: those of the target divided by the joined entries. */
export function connectionsPerMember(state: FleetState): number {
  const entries = [...state.members.values()].filter((member) => member.role === 'entry').length;
  const targets = [...state.vms.values()].filter((vm) => vm.role === 'target');
  const connections = targets.reduce((least, vm) => Math.min(least, vm.connections), DEFAULT_CONNECTIONS);
  return Math.max(1, Math.floor(connections / Math.max(1, entries)));
}
