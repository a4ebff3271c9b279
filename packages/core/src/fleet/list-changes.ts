import type { FleetProposal } from '../records/fleet-proposal';
import type { FleetState, Member, Vm } from './fleet-state';
import { isServing, minServing, servingCount } from './budget';

/** The fields of a VM on the platform's list on which changes of the fleet depend. */
export interface ListedState {
  id: string;
  role: 'entry' | 'target' | 'worker';
  state: 'leaving' | 'live';
}

/** The platform's list of VMs; it lags behind their real state. */
export interface ListView {
  /** Time that the list describes, in ms since the Unix epoch. */
  asOf: number;
  vms: readonly ListedState[];
}

/** Number of consecutive lists without a member's VM, by member. */
export type MissedLists = ReadonlyMap<string, number>;

/** Result of comparing the fleet with a list. */
export interface ListChanges {
  /** Missed lists to pass in with the next list. */
  missed: MissedLists;
  proposals: FleetProposal[];
}

/**
 * Number of consecutive lists without its VM after which a member is considered gone. One list isn't enough,
 * because the list lags.
 */
const GONE_AFTER_MISSED_LISTS = 2;

/** Time after its start by which a member's VM must be on the list, in ms; covers lag and clock skew. */
const LIST_GRACE_MS = 60_000;

/**
 * Compares the fleet with the platform's list and proposes the changes that follow from it. An empty list is
 * treated as a fault of the platform and changes nothing. A list without entry VMs leads to no changes
 * of members.
 */
export function planListChanges(state: FleetState, list: ListView, missed: MissedLists): ListChanges {
  if (list.vms.length === 0) {
    return { missed, proposals: [] };
  }
  const listed = new Map(list.vms.map((vm) => [vm.id, vm]));
  const gone = proposeGoneMembers(state, list, missed);
  return {
    missed: gone.missed,
    proposals: [
      ...proposeHealthChanges(state, listed),
      ...proposeLeavingDrains(state, listed),
      ...gone.proposals,
    ],
  };
}

function proposeHealthChanges(state: FleetState, listed: ReadonlyMap<string, ListedState>): FleetProposal[] {
  const proposals: FleetProposal[] = [];
  for (const vm of state.vms.values()) {
    const health = listed.has(vm.id) ? 'up' : 'down';
    if (vm.health !== health) {
      proposals.push({ health, kind: 'vm-health', vm: vm.id });
    }
  }
  return proposals;
}

function proposeLeavingDrains(state: FleetState, listed: ReadonlyMap<string, ListedState>): FleetProposal[] {
  const headroom = new Map<string, number>();
  const proposals: FleetProposal[] = [];
  for (const vm of state.vms.values()) {
    if (
      listed.get(vm.id)?.state === 'leaving' &&
      vm.state === 'serving' &&
      reserveFromBudget(state, vm, headroom)
    ) {
      proposals.push({ from: vm.pool, kind: 'vm-drain', purpose: 'remove', vm: vm.id });
    }
  }
  return proposals;
}

// Drains beyond the current budget aren't proposed, so that a VM that waits for the budget doesn't add a record
// to the log for each list.
function reserveFromBudget(state: FleetState, vm: Vm, headroom: Map<string, number>): boolean {
  if (!isServing(vm)) {
    return true;
  }
  const remaining = headroom.get(vm.pool) ?? servingCount(state, vm.pool) - minServing(state, vm.pool);
  headroom.set(vm.pool, remaining - 1);
  return remaining > 0;
}

function proposeGoneMembers(state: FleetState, list: ListView, missed: MissedLists): ListChanges {
  const entryVms = new Set(list.vms.filter((vm) => vm.role === 'entry').map((vm) => vm.id));
  const next = new Map<string, number>();
  const proposals: FleetProposal[] = [];
  for (const member of state.members.values()) {
    if (entryVms.size === 0 || entryVms.has(member.vm) || !isExpectedOnList(member, list)) {
      continue;
    }
    const count = (missed.get(member.id) ?? 0) + 1;
    next.set(member.id, count);
    if (count >= GONE_AFTER_MISSED_LISTS) {
      proposals.push({ incarnation: member.incarnation, kind: 'member-gone', member: member.id });
    }
  }
  return { missed: next, proposals };
}

// The VM of a new member may not be on the list yet, since the list lags. Incarnations are start times.
function isExpectedOnList(member: Member, list: ListView): boolean {
  return list.asOf >= member.incarnation + LIST_GRACE_MS;
}
